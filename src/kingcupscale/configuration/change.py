"""One accepted change, and how changes are computed and shown."""

import datetime
from typing import Any

import attrs

from kingcupscale.configuration import document

MISSING = None


@attrs.frozen
class Change:
    """What turns one revision into the next.

    Attributes:
        revision: The revision it makes, counted up by one.
        entries: New value by ``table/name``; None for a removed entry.
        operator: Who made it.
        reason: Why.
        at: When it was accepted, in UTC.
        token: Unique to the write.
    """

    revision: int
    entries: dict[str, Any]
    operator: str
    reason: str
    at: datetime.datetime
    token: str


@attrs.frozen
class Snapshot:
    """All entries as of a revision."""

    revision: int
    entries: dict[str, Any]


@attrs.frozen
class Batch:
    """What brings a node forward: a snapshot, if needed, and changes."""

    snapshot: Snapshot | None
    changes: list[Change]


def difference(old: document.Entries, new: document.Entries) -> dict[str, Any]:
    """Returns the entries that turn one configuration into another."""
    changed = {
        path: entry for path, entry in new.items() if old.get(path) != entry
    }
    removed = {path: MISSING for path in old if path not in new}
    return {**changed, **removed}


def apply(entries: document.Entries, change: Change) -> document.Entries:
    """Returns the entries after a change."""
    merged = {**entries, **change.entries}
    return {path: e for path, e in merged.items() if e is not MISSING}


def describe(entries: dict[str, Any]) -> list[str]:
    """Returns a line for each changed entry, keys' digests left out."""
    return [
        f"- {path}" if entry is MISSING else f"+ {path} {_shorten(path, entry)}"
        for path, entry in sorted(entries.items())
    ]


def _shorten(path: str, entry: Any) -> str:
    if path.startswith("keys/"):
        return f"{entry.get('organisation')} {entry.get('service_class')}"
    return str(entry)
