"""Checks that a batch's request may be sent, right before it is sent."""

from kingcupscale.batches import sample as samples
from kingcupscale.fleet import serverclient
from kingcupscale.storage import view as views


class SendGuard:
    """Blocks requests of batches that have ended or may have ended.

    Args:
        view: Tells whether this node's view of the store is recent enough to
            include the batch's end.
    """

    def __init__(self, view: views.View) -> None:
        self.view = view

    def check(self, sample: samples.Sample) -> None:
        """Checks that a request of a sample may be sent.

        To be called when the request's connection is open: until then, the
        batch may end or the view may become too old.

        Raises:
            NotSentError: If the batch has ended, or may have ended without
                this node knowing.
        """
        if not sample.record.is_open():
            raise serverclient.NotSentError("the batch has ended")
        if not self.view.is_current():
            raise serverclient.NotSentError("the view of the store is too old")
