"""Whether a batch's requests may leave this node right now."""

from kingcupscale.batches import sample as samples
from kingcupscale.fleet import serverclient
from kingcupscale.storage import view as views


class SendGuard:
    """Lets a batch's requests leave while it is surely open.

    Args:
        view: Tells whether the node would know of the batch's end.
    """

    def __init__(self, view: views.View) -> None:
        self.view = view

    def check(self, sample: samples.Sample) -> None:
        """Lets a request of a batch's item leave.

        To be called when the request's connection is open: until then, the
        batch may end or the view may grow old.

        Raises:
            NotSentError: If the batch has ended, or may have ended without
                this node knowing.
        """
        if not sample.record.is_open():
            raise serverclient.NotSentError("the batch is not open any more")
        if not self.view.is_current():
            raise serverclient.NotSentError("the view of the store is old")
