"""Paces the reading of bodies that consist of very small chunks.

Load pattern: many connections send bodies in chunks of a few bytes. Decoding a
chunk takes tens of microseconds whatever its size, so that a few hundred
kilobytes keep the process busy for seconds, also after the clients have left.
"""

import attrs

# Chunks of a request that are read without a pause, so that clients which
# write their bodies in small pieces are not delayed.
FREE_CHUNKS = 2048
# Chunks are small if a body has fewer bytes per chunk than this.
SMALL_BYTES = 256
# Small chunks that all requests together may read in a second. They take about
# a quarter of a core.
CHUNKS_PER_S = 8192
# Chunks between two pauses of a request.
STEP_CHUNKS = 64


@attrs.define
class ChunkPacer:
    """The small chunks that all requests of a process may read.

    Attributes:
        next_at: Monotonic time from which the next chunks may be read.
    """

    next_at: float = 0.0

    def reserve(self, now: float) -> float:
        """Returns the time from which ``STEP_CHUNKS`` chunks may be read."""
        start = max(now, self.next_at)
        self.next_at = start + STEP_CHUNKS / CHUNKS_PER_S
        return start


def is_due(chunks: int, size: int) -> bool:
    """Returns whether a request has to pause before its next chunk.

    Args:
        chunks: Number of chunks that it has read.
        size: Bytes of its body so far.
    """
    return (
        chunks > FREE_CHUNKS
        and chunks % STEP_CHUNKS == 0
        and size < chunks * SMALL_BYTES
    )
