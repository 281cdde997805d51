"""Answering operators who want to take a VM away."""

from collections.abc import Callable

from kingcupscale import dependencies
from kingcupscale import events
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores


class Retirements:
    """Answers requests to empty a VM.

    VMs hold nothing that would have to be moved off them first, so that each
    request is answered at once.

    Args:
        mirror: Where requests and answers are seen.
        keys: Where they are written.
        encode: Returns an answer by its word.
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
        """Answers the requests that have no answer yet.

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
