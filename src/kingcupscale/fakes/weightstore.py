"""A stand-in for the rate-limited weight store."""

import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.providers import weightstore
from kingcupscale.web import message


class FakeWeightStore:
    """Hands out weight versions at a limited rate.

    Args:
        clock: Tells the time.
        megabytes: Size of every version.
        megabytes_per_s: What all readers share.

    Attributes:
        fetches: How many copies were read.
        newest: Newest whole version; all before it are, too.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        megabytes: int = 100,
        megabytes_per_s: float = 1000,
    ) -> None:
        self.clock = clock
        self.megabytes = megabytes
        self.megabytes_per_s = megabytes_per_s
        self.fetches = 0
        self.newest = 10**9
        self.pipe = trio.Lock()

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers ``/weights/ADAPTER/VERSION`` and ``.../content``."""
        parts = request.path.strip("/").split("/")
        if parts[0] != "weights" or len(parts) < 3 or not parts[2].isdigit():
            raise errors.ServiceError(errors.ResultCode.ROUTE_UNKNOWN)
        if parts[-1] == "content":
            async with self.pipe:
                await self.clock.sleep(self.megabytes / self.megabytes_per_s)
            self.fetches += 1
        return message.json_response(
            weightstore.WeightManifest(
                parts[1],
                int(parts[2]),
                self.megabytes,
                int(parts[2]) <= self.newest,
            )
        )
