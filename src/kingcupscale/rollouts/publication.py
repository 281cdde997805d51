"""Which weight version a trainer has published, decided by the store."""

import datetime

import attrs

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue

HEADS_PREFIX = "weights/heads/"
STAGED_PREFIX = "weights/staged/"
ATTEMPTS = 5


@attrs.frozen
class Head:
    """A trainer's newest weights.

    Attributes:
        trainer: Name of the trainer.
        service: The engine service that is to run them.
        version: The version.
        at: When it was published, in UTC.
        token: Unique to the write.
    """

    trainer: str
    service: str
    version: int
    at: datetime.datetime
    token: str


@attrs.frozen
class Staged:
    """Says that a zone's engines hold a version, ready to activate."""

    trainer: str
    zone: str
    version: int
    token: str


@attrs.frozen
class Board:
    """All heads, and which zones have staged what.

    Attributes:
        heads: By trainer.
        staged: Version by trainer and zone.
        versions: The store's versions of the entries, by key.
    """

    heads: dict[str, Head]
    staged: dict[tuple[str, str], int]
    versions: dict[str, int]


class Publications:
    """Publishes versions and reads what is published.

    Args:
        store: The key-value service.
        clock: Tells the time.
    """

    def __init__(
        self, store: keyvalue.KeyValueStore, clock: clocks.Clock
    ) -> None:
        self.store = store
        self.clock = clock

    async def publish(self, trainer: str, service: str, version: int) -> None:
        """Makes a version the trainer's newest; repeating it is harmless.

        Raises:
            ServiceError: ``VERSION_CONFLICT`` if a newer one is published,
                ``STORE_UNAVAILABLE``.
        """
        try:
            for _ in range(ATTEMPTS):
                if await self._try_publish(trainer, service, version):
                    return
        except calls.PlatformError as e:
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE,
                e.reason,
                errors.Run.UNKNOWN,
                retry_after_s=1,
            ) from e
        raise errors.ServiceError(
            errors.ResultCode.VERSION_CONFLICT, "others publish all the time"
        )

    async def _try_publish(
        self, trainer: str, service: str, version: int
    ) -> bool:
        key = HEADS_PREFIX + trainer
        entry = await self.store.get(key)
        if entry is not None:
            present = codec.decode(Head, entry.value).version
            if present == version:
                return True
            if present > version:
                raise errors.ServiceError(
                    errors.ResultCode.VERSION_CONFLICT,
                    f"version {present} is published already",
                )
        head = Head(
            trainer, service, version, self.clock.now(), keyvalue.new_token()
        )
        answer = await keyvalue.put_resolved(
            self.store,
            key,
            codec.encode(head).decode(),
            entry.version if entry else keyvalue.ABSENT,
        )
        if answer.written:
            events.log(
                events.Event.WEIGHTS_PUBLISHED, trainer=trainer, version=version
            )
        return answer.written

    async def read(self) -> Board:
        """Returns everything published and staged, by one call."""
        answer = await self.store.scan("weights/")
        board = Board({}, {}, {e.key: e.version for e in answer.entries})
        for entry in answer.entries:
            if entry.key.startswith(HEADS_PREFIX):
                head = codec.decode(Head, entry.value)
                board.heads[head.trainer] = head
            else:
                staged = codec.decode(Staged, entry.value)
                board.staged[staged.trainer, staged.zone] = staged.version
        return board

    async def mark_staged(
        self, board: Board, trainer: str, zone: str, version: int
    ) -> None:
        """Notes that a zone is ready to activate a version."""
        key = f"{STAGED_PREFIX}{trainer}/{zone}"
        staged = Staged(trainer, zone, version, keyvalue.new_token())
        await keyvalue.put_resolved(
            self.store,
            key,
            codec.encode(staged).decode(),
            board.versions.get(key, keyvalue.ABSENT),
        )
