"""Processes that benches start, and what the system says of them."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import subprocess
import sys

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the memory that a process has resident, in megabytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * PAGE_BYTES / 1e6


@contextlib.contextmanager
def started(
    *words: str, environment: dict[str, str] | None = None
) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a Python module as a process for the length of a block.

    Args:
        *words: The module and its arguments.
        environment: Variables besides the present ones.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", *words],
        env={**os.environ, **(environment or {})},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(20)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
