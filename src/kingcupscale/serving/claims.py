"""Idempotency keys: records of claimed requests in the key-value service.

A node claims an Idempotency-Key before it runs a request and stores the
response under it, so that a caller can repeat the request on any node without
running it twice.
"""

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
CLAIM_TTL_S = 24 * 3600.0
MAX_STORED_BODY_BYTES = 256 * 1024
RETRY_AFTER_S = 1.0


class ClaimState(enum.Enum):
    """Progress of a claimed request."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"


@attrs.frozen
class Claim:
    """Stored record of an Idempotency-Key.

    Attributes:
        fingerprint: Digest of the request that first used the key.
        state: Progress of the request.
        node: ``name/incarnation`` of the node that runs the request.
        token: Unique to each write, so that a write whose response was lost can
            be recognised in the store.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body: The response body in base64, or None if it was too large to store.
    """

    fingerprint: str
    state: ClaimState
    node: str
    token: str
    status: int = 0
    content_type: str = ""
    body: str | None = None


@attrs.define
class AcquiredClaim:
    """A claim that this node acquired.

    Attributes:
        key: The claim's key in the key-value service.
        version: Version of the entry that this node wrote.
        claim: The record.
    """

    key: str
    version: int
    claim: Claim


class ClaimStore:
    """Claims Idempotency-Keys in the key-value service.

    Args:
        store: The key-value service.
        node: ``name/incarnation`` of this node.
    """

    def __init__(self, store: keyvalue.KeyValueStore, node: str) -> None:
        self.store = store
        self.node = node

    async def acquire(
        self, organisation: str, idempotency_key: str, fingerprint: str
    ) -> AcquiredClaim | message.Response:
        """Claims a request, or returns the stored response to it.

        Args:
            organisation: The organisation that uses the key. Equal keys of
                different organisations are independent.
            idempotency_key: The Idempotency-Key.
            fingerprint: Digest of the request.

        Raises:
            ServiceError: ``CLAIM_UNAVAILABLE``, ``IDEMPOTENCY_MISMATCH``,
                ``IDEMPOTENCY_BUSY`` or ``IDEMPOTENCY_UNKNOWN``.
        """
        digest = hashing.hex128(idempotency_key.encode())
        key = f"{PREFIX}{organisation}/{digest}"
        claim = Claim(
            fingerprint, ClaimState.RUNNING, self.node, keyvalue.new_token()
        )
        try:
            entry = await self.store.get(key)
            version = _claimable_version(entry, fingerprint)
            if version is not None:
                acquired = await self._put(key, claim, version)
                if acquired is not None:
                    return acquired
                entry = await self.store.get(key)
        except calls.PlatformError as e:
            raise errors.ServiceError(
                errors.ResultCode.CLAIM_UNAVAILABLE,
                e.reason,
                retry_after_s=RETRY_AFTER_S,
            ) from e
        return self._replay_response(entry, fingerprint)

    async def _put(
        self, key: str, claim: Claim, version: int
    ) -> AcquiredClaim | None:
        text = codec.encode(claim).decode()
        result = await keyvalue.put_resolved(
            self.store, key, text, version, CLAIM_TTL_S
        )
        if not result.written:
            return None
        return AcquiredClaim(key, result.version, claim)

    def _replay_response(
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
                "the request ran, but its response was too large to store",
                errors.Run.RAN,
            )
        raise errors.ServiceError(
            errors.ResultCode.IDEMPOTENCY_BUSY,
            "the request was started and has no recorded outcome",
            errors.Run.UNKNOWN,
            RETRY_AFTER_S,
        )

    async def store_response(
        self, acquired: AcquiredClaim, response: message.Response
    ) -> None:
        """Stores the response for the caller's retries."""
        body = None
        if len(response.body) <= MAX_STORED_BODY_BYTES:
            body = base64.b64encode(response.body).decode()
        claim = attrs.evolve(
            acquired.claim,
            state=ClaimState.DONE,
            token=keyvalue.new_token(),
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            body=body,
        )
        await self._write_outcome(acquired, claim)

    async def release(self, acquired: AcquiredClaim) -> None:
        """Records that the request did not run, so that a retry may run it."""
        claim = attrs.evolve(
            acquired.claim, state=ClaimState.NOT_RUN, token=keyvalue.new_token()
        )
        await self._write_outcome(acquired, claim)

    async def _write_outcome(
        self, acquired: AcquiredClaim, claim: Claim
    ) -> None:
        """Writes the outcome of a request.

        If the write fails, the outcome stays unknown to retries.
        """
        text = codec.encode(claim).decode()
        try:
            await self.store.put(
                acquired.key, text, acquired.version, CLAIM_TTL_S
            )
        except calls.PlatformError:
            return


def _claimable_version(
    entry: keyvalue.Entry | None, fingerprint: str
) -> int | None:
    """Returns the entry version to claim the key at, or None if it is taken."""
    if entry is None:
        return keyvalue.ABSENT
    claim = codec.decode(Claim, entry.value)
    is_same = claim.fingerprint == fingerprint
    if is_same and claim.state is ClaimState.NOT_RUN:
        return entry.version
    return None
