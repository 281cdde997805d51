"""Changes of the configuration: types, comparison, application, display."""

import datetime
from typing import Any

import attrs

from kingcupscale.configuration import document

REMOVED = None


@attrs.frozen
class Change:
    """An accepted change, which turns one revision into the next.

    Attributes:
        revision: The revision it creates, one above the last.
        entries: New values by ``table/name``; None for a removed entry.
        operator: Name of the operator who made it.
        reason: Why the operator made it.
        at: Time at which it was made, in UTC.
        token: Unique token, which distinguishes this write from other writes
            of the same revision.
    """

    revision: int
    entries: dict[str, Any]
    operator: str
    reason: str
    at: datetime.datetime
    token: str


@attrs.frozen
class Snapshot:
    """All entries of the configuration at one revision."""

    revision: int
    entries: dict[str, Any]


@attrs.frozen
class Batch:
    """An update for a replica: a snapshot if it needs one, then changes."""

    snapshot: Snapshot | None
    changes: list[Change]


def difference(old: document.Entries, new: document.Entries) -> dict[str, Any]:
    """Returns the changed entries between two configurations.

    A removed entry has the value ``REMOVED``.
    """
    changed = {
        path: entry for path, entry in new.items() if old.get(path) != entry
    }
    removed = {path: REMOVED for path in old if path not in new}
    return {**changed, **removed}


def apply(entries: document.Entries, change: Change) -> document.Entries:
    """Returns the entries with a change applied."""
    merged = {**entries, **change.entries}
    return {path: e for path, e in merged.items() if e is not REMOVED}


def describe(entries: dict[str, Any]) -> list[str]:
    """Returns a line for each changed entry, without the digests of keys."""
    return [
        f"- {path}"
        if entry is REMOVED
        else f"+ {path} {_summarize(path, entry)}"
        for path, entry in sorted(entries.items())
    ]


def _summarize(path: str, entry: Any) -> str:
    if path.startswith("keys/"):
        return f"{entry.get('organisation')} {entry.get('service_class')}"
    return str(entry)
