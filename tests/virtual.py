"""A decorator for tests on virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

from kingcupscale.fakes import virtualtime


def on_virtual_time(test: Callable[..., Awaitable[None]]) -> Any:
    """Runs an async test method on virtual time."""

    @functools.wraps(test)
    def run(*args: Any) -> None:
        virtualtime.run(functools.partial(test, *args))

    return run
