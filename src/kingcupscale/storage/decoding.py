"""Reading values of the store that may have been written by anybody."""

from collections.abc import Callable
from typing import TypeVar

import cattrs

from kingcupscale import events
from kingcupscale.storage import store as stores

T = TypeVar("T")


def decode_entry(entry: stores.Entry, decode: Callable[[bytes], T]) -> T | None:
    """Returns what a value says; None, with a log line, if it makes no sense.

    Args:
        entry: A present entry.
        decode: Reads the value; raises ``ValueError`` or the error of cattrs.
    """
    try:
        return decode(entry.value or b"")
    except (ValueError, cattrs.BaseValidationError) as e:
        events.log(
            events.Event.STORE_ENTRY_UNREADABLE,
            key=entry.key,
            reason=repr(e)[:200],
        )
        return None
