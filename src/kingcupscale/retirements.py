"""Responds to operators' requests to retire a VM."""

from collections.abc import Callable

from kingcupscale import dependencies
from kingcupscale import events
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores


class Retirements:
    """Responds to requests to retire a VM.

    VMs hold no data that would have to be moved first, so each request is
    confirmed at once.

    Args:
        mirror: The local mirror of the store, with requests and responses.
        keys: Key prefixes of requests and responses.
        encode: Encodes the state of a retirement.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        keys: dependencies.Keys,
        encode: Callable[[str], bytes],
    ) -> None:
        self.mirror = mirror
        self.keys = keys
        self.done = encode("done")

    async def answer(self) -> None:
        """Responds to the requests that have no response yet.

        Raises:
            StoreError: If the store cannot be reached.
        """
        for entry in self.mirror.entries_under(self.keys.retirements):
            vm = entry.key.removeprefix(self.keys.retirements)
            key = self.keys.retirement_states + vm
            known = self.mirror.entries.get(key)
            if known is not None and known.revision > entry.revision:
                continue
            await self.mirror.store.commit(
                stores.Transaction(puts=[stores.Put(key, self.done)])
            )
            events.log(events.Event.VM_EMPTIED, vm=vm)
