"""Claims that make a caller's own retry safe on any node."""

import base64
import enum

import attrs

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import hashing
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue
from kingcupscale.web import message

PREFIX = "claims/"
KEPT_S = 24 * 3600.0
ANSWER_KEPT_BYTES = 256 * 1024
RETRY_AFTER_S = 1.0


class ClaimState(enum.Enum):
    """How far a claimed request has come."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"


@attrs.frozen
class Claim:
    """What the store holds of an Idempotency-Key.

    Attributes:
        fingerprint: Digest of the request that first used it.
        state: How far it has come.
        node: The node incarnation that runs it.
        token: Unique to the write.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: The answer in base64, or None if it was too large to keep.
    """

    fingerprint: str
    state: ClaimState
    node: str
    token: str
    status: int = 0
    content_type: str = ""
    body: str | None = None


@attrs.define
class HeldClaim:
    """A claim that this node has won."""

    key: str
    version: int
    claim: Claim


class Claims:
    """Claims Idempotency-Keys in the key-value service.

    Args:
        store: The key-value service.
        node: ``name/incarnation`` of this node.
    """

    def __init__(self, store: keyvalue.KeyValueStore, node: str) -> None:
        self.store = store
        self.node = node

    async def acquire(
        self, organisation: str, text: str, fingerprint: str
    ) -> HeldClaim | message.Response:
        """Wins the right to run a request, or brings its earlier answer.

        Args:
            organisation: Whose key it is; keys of others do not clash.
            text: The Idempotency-Key.
            fingerprint: Digest of the request.

        Raises:
            ServiceError: ``CLAIM_UNAVAILABLE``, ``IDEMPOTENCY_MISMATCH``,
                ``IDEMPOTENCY_BUSY`` or ``IDEMPOTENCY_UNKNOWN``.
        """
        digest = hashing.long(text.encode())
        key = f"{PREFIX}{organisation}/{digest}"
        claim = Claim(
            fingerprint, ClaimState.RUNNING, self.node, keyvalue.new_token()
        )
        try:
            entry = await self.store.get(key)
            version = _claimable(entry, fingerprint)
            if version is not None:
                held = await self._put(key, claim, version)
                if held is not None:
                    return held
                entry = await self.store.get(key)
        except calls.PlatformError as e:
            raise errors.ServiceError(
                errors.ResultCode.CLAIM_UNAVAILABLE,
                e.reason,
                retry_after_s=RETRY_AFTER_S,
            ) from e
        return self._answer_again(entry, fingerprint)

    async def _put(
        self, key: str, claim: Claim, version: int
    ) -> HeldClaim | None:
        text = codec.encode(claim).decode()
        answer = await keyvalue.put_resolved(
            self.store, key, text, version, KEPT_S
        )
        if not answer.written:
            return None
        return HeldClaim(key, answer.version, claim)

    def _answer_again(
        self, entry: keyvalue.Entry | None, fingerprint: str
    ) -> message.Response:
        if entry is None:
            raise errors.ServiceError(
                errors.ResultCode.IDEMPOTENCY_BUSY, retry_after_s=RETRY_AFTER_S
            )
        claim = codec.decode(Claim, entry.value)
        if claim.fingerprint != fingerprint:
            raise errors.ServiceError(errors.ResultCode.IDEMPOTENCY_MISMATCH)
        if claim.state is ClaimState.DONE and claim.body is not None:
            headers = {"content-type": claim.content_type}
            body = base64.b64decode(claim.body)
            return message.Response(claim.status, headers, body)
        if claim.state is ClaimState.DONE:
            raise errors.ServiceError(
                errors.ResultCode.IDEMPOTENCY_UNKNOWN,
                "it ran, but its answer was too large to keep",
                errors.Run.RAN,
            )
        raise errors.ServiceError(
            errors.ResultCode.IDEMPOTENCY_BUSY,
            "it was begun and has no recorded outcome",
            errors.Run.UNKNOWN,
            RETRY_AFTER_S,
        )

    async def finish(self, held: HeldClaim, answer: message.Response) -> None:
        """Keeps the answer for the caller's retries."""
        body = None
        if len(answer.body) <= ANSWER_KEPT_BYTES:
            body = base64.b64encode(answer.body).decode()
        claim = attrs.evolve(
            held.claim,
            state=ClaimState.DONE,
            token=keyvalue.new_token(),
            status=answer.status,
            content_type=answer.headers.get("content-type", ""),
            body=body,
        )
        await self._settle(held, claim)

    async def give_back(self, held: HeldClaim) -> None:
        """Notes that nothing ran, so that a retry may run it."""
        claim = attrs.evolve(
            held.claim, state=ClaimState.NOT_RUN, token=keyvalue.new_token()
        )
        await self._settle(held, claim)

    async def _settle(self, held: HeldClaim, claim: Claim) -> None:
        """Writes an outcome; left out, retries learn that it is unknown."""
        text = codec.encode(claim).decode()
        try:
            await self.store.put(held.key, text, held.version, KEPT_S)
        except calls.PlatformError:
            return


def _claimable(entry: keyvalue.Entry | None, fingerprint: str) -> int | None:
    """Returns the version on which the key may be claimed, if any."""
    if entry is None:
        return keyvalue.ABSENT
    claim = codec.decode(Claim, entry.value)
    is_same = claim.fingerprint == fingerprint
    if is_same and claim.state is ClaimState.NOT_RUN:
        return entry.version
    return None
