"""Starts Python modules as processes, and reads their resource usage."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import subprocess
import sys

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_s(pid: int) -> float:
    """Returns the processor time used by a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in megabytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * PAGE_BYTES / 1e6


@contextlib.contextmanager
def run_module(
    *command: str, environment: dict[str, str] | None = None
) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a Python module as a process until the context exits.

    Args:
        *command: The module and its arguments.
        environment: Environment variables added to those of this process.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", *command],
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
