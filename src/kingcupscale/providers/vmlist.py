"""The platform's lagging list of live and leaving VMs."""

import enum
from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM.

    Attributes:
        address: ``host:port`` of what runs there.
        zone: Its availability zone.
        state: Live or leaving.
        node: Whether it is an entry VM of the system.
    """

    address: str
    zone: str
    state: VmState
    node: bool = False


@attrs.frozen
class VmList:
    """The VMs as the platform saw them some seconds ago."""

    vms: list[Vm]


class VmDirectory(Protocol):
    """Lists VMs."""

    async def list(self) -> VmList:
        """Returns the list as of some seconds ago."""
        ...


class HttpVmDirectory(calls.PlatformClient):
    """The VM list over HTTP."""

    async def list(self) -> VmList:
        """Returns the list as of some seconds ago."""
        request = message.Request("GET", "/vms")
        return await self.call(request, VmList)
