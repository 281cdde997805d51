"""The platform's rate-limited weight store."""

from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


@attrs.frozen
class WeightManifest:
    """What the store holds of one weight version.

    Attributes:
        adapter: Whose weights.
        version: Which version.
        megabytes: Size of one copy.
        ready: Whether the trainer's upload is whole.
    """

    adapter: str
    version: int
    megabytes: int
    ready: bool


class WeightStore(Protocol):
    """Tells what weights exist; engines fetch them by themselves."""

    async def describe(self, adapter: str, version: int) -> WeightManifest:
        """Returns what the store holds of a version."""
        ...


class HttpWeightStore(calls.PlatformClient):
    """The weight store over HTTP."""

    async def describe(self, adapter: str, version: int) -> WeightManifest:
        """Returns what the store holds of a version."""
        request = message.Request("GET", f"/weights/{adapter}/{version}")
        return await self.call(request, WeightManifest)
