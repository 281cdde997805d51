"""Reads the body of a request within the memory budget of the process."""

import io
from typing import Any

import trio

from kingcupscale import errors
from kingcupscale.web import chunkpacer
from kingcupscale.web import jsoncost
from kingcupscale.web import memorybudget

# Memory is drawn in steps of at least this size.
MIN_STEP_BYTES = 16 * 1024
# A buffer that grows is allocated larger by an eighth.
GROWTH_SHIFT = 3
# A body that decodes to no more than this multiple is always decoded.
DECODED_SHARE = 2
# Seconds after which a refused caller may try again.
RETRY_AFTER_S = 1.0


class Holder:
    """Draws on the budget for one request, and waits while there is none.

    Args:
        budget: The budget of the process.
        address: Address of the client.
    """

    def __init__(self, budget: memorybudget.Budget, address: str) -> None:
        self.budget = budget
        self.claim = budget.open(address)

    async def draw(self, size: int) -> None:
        """Draws bytes; waits until there is enough."""
        if not self.budget.draw(self.claim, size):
            granted = trio.Event()
            self.claim.on_granted = granted.set
            await granted.wait()

    async def read_body(
        self, receive: Any, max_bytes: int, timeout_s: float
    ) -> bytes:
        """Returns the whole body.

        Raises:
            ServiceError: If the client disconnects, the body is too large or
                late, or there is not enough memory for it.
        """
        with trio.move_on_after(timeout_s) as scope:
            self.claim.on_refused = scope.cancel
            await self.draw(memorybudget.REQUEST_BYTES)
            body = await self._read_chunks(receive, max_bytes)
            self.claim.is_reading = False
            # It may have been refused after its last part had arrived.
            self.claim.refusal = None
            return body
        if self.claim.refusal is None:
            raise errors.ServiceError(errors.ResultCode.BODY_TIMEOUT)
        raise self._make_refusal()

    async def _read_chunks(self, receive: Any, max_bytes: int) -> bytes:
        # Unlike a bytearray, it gives its content away without a copy.
        body = io.BytesIO()
        size = reserved = chunks = 0
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise errors.ServiceError(errors.ResultCode.BODY_MALFORMED)
            chunk = event.get("body", b"")
            size += len(chunk)
            if size > max_bytes:
                raise make_too_large_error(max_bytes)
            if size > reserved:
                step = max(
                    MIN_STEP_BYTES, size - reserved, size >> GROWTH_SHIFT
                )
                step = min(step, max_bytes - reserved)
                await self.draw(step)
                reserved += step
            body.write(chunk)
            self.claim.received += len(chunk)
            chunks += 1
            if chunkpacer.is_due(chunks, size):
                await self._pause()
            if not event.get("more_body", False):
                self.budget.shrink(self.claim, reserved - size)
                return body.getvalue()

    async def _pause(self) -> None:
        """Waits until more small chunks may be read."""
        now = self.budget.monotonic()
        await trio.sleep(self.budget.pacer.reserve(now) - now)

    def _make_refusal(self) -> errors.ServiceError:
        """Returns the error for a request that the budget has refused."""
        if self.claim.refusal is memorybudget.Refusal.TOO_SLOW:
            return errors.ServiceError(errors.ResultCode.BODY_TOO_SLOW)
        return make_memory_error()

    async def reserve(self, size: int) -> None:
        """Waits for memory for handling the request, besides its body.

        A request reserves at most the memory that large requests may use, so
        that a single one is handled at any size, and small ones beside it. One
        that needs no more does not wait.

        Raises:
            ServiceError: If there is not enough in time.
        """
        size = min(size, self.budget.large_bytes() - self.claim.held)
        if size <= 0:
            return
        with trio.CancelScope() as scope:
            self.claim.on_refused = scope.cancel
            await self.draw(size)
            return
        raise self._make_refusal()

    def check_decoding(self, body: bytes) -> None:
        """Checks whether a JSON body may be decoded.

        Nothing is drawn for it, because decoding does not let other tasks run,
        and the result takes up no more than the body, which is given up.

        Raises:
            ServiceError: If the values would take up too much memory.
        """
        size = jsoncost.estimate_bytes(body)
        available = self.budget.available_to(self.claim)
        allowed = max(available, DECODED_SHARE * len(body))
        if size <= max(allowed, memorybudget.SMALL_BYTES):
            return
        self.budget.count_refused(memorybudget.Refusal.MANY_VALUES)
        if size <= self.budget.limits.memory_bytes:
            raise make_memory_error()
        raise errors.ServiceError(errors.ResultCode.BODY_VALUES_EXCEEDED)

    def hold_response(self, size: int) -> None:
        """Replaces the bytes of the request by those of its response."""
        self.budget.add(self.claim, size)
        body = self.claim.held - size - memorybudget.REQUEST_BYTES
        self.budget.shrink(self.claim, max(0, body))

    def discard_body(self) -> None:
        """Releases the bytes of a body that is not handled."""
        self.claim.is_reading = False
        body = self.claim.held - memorybudget.REQUEST_BYTES
        self.budget.shrink(self.claim, max(0, body))

    def release(self) -> None:
        """Releases everything at the end of the request."""
        self.budget.release(self.claim)


def make_too_large_error(max_bytes: int) -> errors.ServiceError:
    """Returns the error for a body over the limit."""
    return errors.ServiceError(
        errors.ResultCode.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )


def make_memory_error() -> errors.ServiceError:
    """Returns the error for a request for which there is no memory."""
    return errors.ServiceError(
        errors.ResultCode.MEMORY_SCARCE, retry_after_s=RETRY_AFTER_S
    )
