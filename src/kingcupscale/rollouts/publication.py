"""Published and staged weight versions in the key-value service.

A trainer's version only increases; conditional writes resolve concurrent
publications.
"""

import datetime

import attrs

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue

PUBLISHED_PREFIX = "weights/heads/"
STAGED_PREFIX = "weights/staged/"
MAX_ATTEMPTS = 5


@attrs.frozen
class PublishedVersion:
    """A trainer's newest published weight version.

    Attributes:
        trainer: Name of the trainer.
        service: The engine service that runs the weights.
        version: The weight version.
        at: Time of the publication, in UTC.
        token: Unique to each write, so that a write whose response was lost can
            be recognised in the store.
    """

    trainer: str
    service: str
    version: int
    at: datetime.datetime
    token: str


@attrs.frozen
class StagedVersion:
    """Records that a zone's engines have staged a version."""

    trainer: str
    zone: str
    version: int
    token: str


@attrs.frozen
class PublicationState:
    """All published versions and the versions staged in each zone.

    Attributes:
        published: Published version by trainer.
        staged: Staged version by trainer and zone.
        versions: Entry versions in the key-value service, by key.
    """

    published: dict[str, PublishedVersion]
    staged: dict[tuple[str, str], int]
    versions: dict[str, int]


class Publications:
    """Publishes weight versions and reads their state.

    Args:
        store: The key-value service.
        clock: Source of the time.
    """

    def __init__(
        self, store: keyvalue.KeyValueStore, clock: clocks.Clock
    ) -> None:
        self.store = store
        self.clock = clock

    async def publish(self, trainer: str, service: str, version: int) -> None:
        """Publishes a trainer's newest version. The call is idempotent.

        Raises:
            ServiceError: ``VERSION_CONFLICT`` if a newer one is published,
                ``STORE_UNAVAILABLE``.
        """
        try:
            for _ in range(MAX_ATTEMPTS):
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
            errors.ResultCode.VERSION_CONFLICT,
            "concurrent publications prevented every attempt",
        )

    async def _try_publish(
        self, trainer: str, service: str, version: int
    ) -> bool:
        key = PUBLISHED_PREFIX + trainer
        entry = await self.store.get(key)
        if entry is not None:
            current = codec.decode(PublishedVersion, entry.value).version
            if current == version:
                return True
            if current > version:
                raise errors.ServiceError(
                    errors.ResultCode.VERSION_CONFLICT,
                    f"expected a version above {current}, the published one",
                )
        published = PublishedVersion(
            trainer, service, version, self.clock.now(), keyvalue.new_token()
        )
        result = await keyvalue.put_resolved(
            self.store,
            key,
            codec.encode(published).decode(),
            entry.version if entry else keyvalue.ABSENT,
        )
        if result.written:
            events.log(
                events.Event.WEIGHTS_PUBLISHED, trainer=trainer, version=version
            )
        return result.written

    async def read(self) -> PublicationState:
        """Reads all published and staged versions in one call."""
        scanned = await self.store.scan("weights/")
        state = PublicationState(
            {}, {}, {e.key: e.version for e in scanned.entries}
        )
        for entry in scanned.entries:
            if entry.key.startswith(PUBLISHED_PREFIX):
                published = codec.decode(PublishedVersion, entry.value)
                state.published[published.trainer] = published
            else:
                staged = codec.decode(StagedVersion, entry.value)
                state.staged[staged.trainer, staged.zone] = staged.version
        return state

    async def mark_staged(
        self, state: PublicationState, trainer: str, zone: str, version: int
    ) -> None:
        """Records that a zone is ready to activate a version."""
        key = f"{STAGED_PREFIX}{trainer}/{zone}"
        staged = StagedVersion(trainer, zone, version, keyvalue.new_token())
        await keyvalue.put_resolved(
            self.store,
            key,
            codec.encode(staged).decode(),
            state.versions.get(key, keyvalue.ABSENT),
        )
