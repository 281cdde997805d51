"""Client of the platform's rate-limited weight store."""

from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


@attrs.frozen
class WeightManifest:
    """A weight version in the store.

    Attributes:
        adapter: The adapter.
        version: Its weight version.
        megabytes: Size of the weights.
        ready: Whether the trainer's upload is complete.
    """

    adapter: str
    version: int
    megabytes: int
    ready: bool


class WeightStore(Protocol):
    """Describes stored weights. Engines download them directly."""

    async def describe(self, adapter: str, version: int) -> WeightManifest:
        """Returns the manifest of a weight version."""
        ...


class HttpWeightStore(calls.PlatformClient):
    """The HTTP client of the weight store."""

    async def describe(self, adapter: str, version: int) -> WeightManifest:
        """Returns the manifest of a weight version."""
        request = message.Request("GET", f"/weights/{adapter}/{version}")
        return await self.call(request, WeightManifest)
