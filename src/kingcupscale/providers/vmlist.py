"""Client of the platform's list of VMs, which lags by some seconds."""

import enum
from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


class VmState(enum.Enum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM in the platform's list.

    Attributes:
        address: ``host:port`` of the backend server or node on the VM.
        zone: The VM's availability zone.
        state: Whether the VM is live or leaving.
        node: Whether a node of this system runs on the VM.
    """

    address: str
    zone: str
    state: VmState
    node: bool = False


@attrs.frozen
class VmList:
    """The VMs as of some seconds ago."""

    vms: list[Vm]


class VmDirectory(Protocol):
    """Lists VMs."""

    async def list(self) -> VmList:
        """Returns the VMs as of some seconds ago."""
        ...


class HttpVmDirectory(calls.PlatformClient):
    """The HTTP client of the VM list."""

    async def list(self) -> VmList:
        """Returns the VMs as of some seconds ago."""
        request = message.Request("GET", "/vms")
        return await self.call(request, VmList)
