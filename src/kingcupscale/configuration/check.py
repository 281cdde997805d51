"""Validates a configuration and reports all mistakes together."""

from collections.abc import Iterator
from typing import Any

from kingcupscale import codec
from kingcupscale.configuration import document

# References: a table, a field of its entries, and the table in which the
# value of the field must name an entry.
_REFERENCES = (
    ("keys", "organisation", "organisations"),
    ("keys", "service_class", "classes"),
    ("keys", "trainer", "trainers"),
    ("open_routes", "service", "services"),
    ("open_routes", "organisation", "organisations"),
    ("open_routes", "service_class", "classes"),
    ("trainers", "organisation", "organisations"),
    ("trainers", "service", "services"),
    ("trainers", "service_class", "classes"),
    ("trainers", "scorer", "services"),
)


class ConfigurationError(ValueError):
    """Raised for an invalid configuration.

    Args:
        mistakes: All mistakes found.
    """

    def __init__(self, mistakes: list[codec.Mistake]) -> None:
        super().__init__("\n".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


def check(tables: Any) -> document.Document:
    """Validates tables and returns them as a typed document.

    Args:
        tables: Tables as read from a TOML file.

    Raises:
        ConfigurationError: With every mistake found.
    """
    mistakes: list[codec.Mistake] = []
    checked = document.Document()
    try:
        checked = codec.structure_strictly(document.Document, tables)
    except codec.DecodeError as e:
        mistakes += e.mistakes
    if isinstance(tables, dict):
        mistakes += _find_unknown_references(tables)
        mistakes += _find_unknown_zones(tables)
        mistakes += _find_unknown_scaling_classes(tables)
        mistakes += _find_wrong_addresses(tables)
    if mistakes:
        raise ConfigurationError(mistakes)
    return checked


def _entries(tables: dict[str, Any], table: str) -> dict[str, dict[str, Any]]:
    entries = tables.get(table, {})
    if not isinstance(entries, dict):
        return {}
    return {k: v for k, v in entries.items() if isinstance(v, dict)}


def _find_unknown_references(tables: dict[str, Any]) -> Iterator[codec.Mistake]:
    for table, field, target in _REFERENCES:
        known = _entries(tables, target)
        for name, entry in _entries(tables, table).items():
            value = entry.get(field, "")
            if isinstance(value, str) and value and value not in known:
                yield _unknown_name(f"{table}.{name}.{field}", value, target)


def _find_unknown_zones(tables: dict[str, Any]) -> Iterator[codec.Mistake]:
    zones = _entries(tables, "zones")
    for path, server in _servers(tables):
        zone = server.get("zone")
        if isinstance(zone, str) and zone not in zones:
            yield _unknown_name(f"{path}.zone", zone, "zones")


def _find_unknown_scaling_classes(
    tables: dict[str, Any],
) -> Iterator[codec.Mistake]:
    classes = _entries(tables, "classes")
    for name, service in _entries(tables, "services").items():
        scaling = service.get("scaling")
        value = scaling.get("service_class") if _is_table(scaling) else None
        if isinstance(value, str) and value not in classes:
            path = f"services.{name}.scaling.service_class"
            yield _unknown_name(path, value, "classes")


def _find_wrong_addresses(tables: dict[str, Any]) -> Iterator[codec.Mistake]:
    seen: dict[str, str] = {}
    for path, server in _servers(tables):
        address = server.get("address")
        if not isinstance(address, str):
            continue
        if address in seen:
            expected = f"an address not used by {seen[address]}"
            yield codec.Mistake(f"{path}.address", repr(address), expected)
        elif not _is_address(address):
            expected = "host:port with a port from 1 to 65535"
            yield codec.Mistake(f"{path}.address", repr(address), expected)
        seen.setdefault(address, path)


def _servers(tables: dict[str, Any]) -> Iterator[tuple[str, dict[str, Any]]]:
    for service, entry in _entries(tables, "services").items():
        for name, server in _entries(entry, "backend_servers").items():
            yield f"services.{service}.backend_servers.{name}", server


def _is_table(value: Any) -> bool:
    return isinstance(value, dict)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def _unknown_name(path: str, value: str, target: str) -> codec.Mistake:
    return codec.Mistake(
        path, repr(value), f"the name of an entry in the table {target}"
    )
