"""Decoding of values in the store, which may be invalid.

Other software writes to the store as well, so an invalid value is logged and
ignored.
"""

from collections.abc import Callable
from typing import TypeVar

import cattrs

from kingcupscale import events
from kingcupscale.storage import store as stores

T = TypeVar("T")


def decode_entry(entry: stores.Entry, decode: Callable[[bytes], T]) -> T | None:
    """Returns the decoded value of an entry; logs and returns None if invalid.

    Args:
        entry: A present entry.
        decode: Decodes the value; raises ``ValueError`` or
            ``cattrs.BaseValidationError`` if it is invalid.
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
