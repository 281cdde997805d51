"""Decoding of values in the store, which may be invalid.

Other software writes to the store as well, so an invalid value is logged and
ignored, whatever error it causes.
"""

from collections.abc import Callable
from typing import TypeVar

from kingcupscale import events
from kingcupscale.storage import store as stores

T = TypeVar("T")


def decode_entry(entry: stores.Entry, decode: Callable[[bytes], T]) -> T | None:
    """Returns the decoded value of an entry; logs and returns None if invalid.

    Args:
        entry: A present entry.
        decode: Decodes the value; raises an exception if it is invalid.
    """
    try:
        return decode_required(entry, decode)
    except stores.StoreError:
        return None


def decode_required(entry: stores.Entry, decode: Callable[[bytes], T]) -> T:
    """Returns the decoded value of an entry; logs an invalid one.

    Args:
        entry: A present entry.
        decode: Decodes the value; raises an exception if it is invalid.

    Raises:
        StoreError: If the value is invalid.
    """
    try:
        return decode(entry.value or b"")
    except Exception as e:
        # Not only ``ValueError``: a value that is nested deeply causes a
        # ``RecursionError``, a large number an ``OverflowError``.
        events.log(
            events.Event.STORE_ENTRY_UNREADABLE,
            key=entry.key,
            reason=f"{type(e).__name__}: {e}"[:200],
        )
        raise stores.StoreError(
            f"unreadable value of {entry.key}", False
        ) from e
