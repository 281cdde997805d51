"""A stand-in for the platform's VM list."""

import collections

import attrs

from kingcupscale import clock as clocks
from kingcupscale.providers import vmlist
from kingcupscale.web import httprouter
from kingcupscale.web import message


class FakeVmList:
    """Shows the VMs as they were some seconds ago.

    Args:
        clock: Tells the time.
        lag_s: How many seconds the list lags.
    """

    def __init__(self, clock: clocks.Clock, lag_s: float) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self.vms: dict[str, vmlist.Vm] = {}
        self.shown: list[vmlist.Vm] = []
        self.pending: collections.deque[tuple[float, list[vmlist.Vm]]] = (
            collections.deque()
        )
        self.routes = httprouter.HttpRouter()
        self.routes.add("GET", "/vms", self._list)

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers one call."""
        return await self.routes(request)

    def add(self, vm: vmlist.Vm) -> None:
        """Adds or replaces a VM."""
        self.vms[vm.address] = vm
        self._record()

    def mark_leaving(self, address: str) -> None:
        """Marks a VM as leaving."""
        vm = self.vms[address]
        self.add(attrs.evolve(vm, state=vmlist.VmState.LEAVING))

    def remove(self, address: str) -> None:
        """Removes a VM."""
        self.vms.pop(address, None)
        self._record()

    def _record(self) -> None:
        at = self.clock.monotonic() + self.lag_s
        self.pending.append((at, list(self.vms.values())))

    async def _list(self, _: message.Request) -> message.Response:
        now = self.clock.monotonic()
        while self.pending and self.pending[0][0] <= now:
            self.shown = self.pending.popleft()[1]
        return message.json_response(vmlist.VmList(self.shown))
