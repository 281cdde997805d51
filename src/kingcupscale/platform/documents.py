"""Decodes and encodes the platform's JSON documents."""

import base64
import math
import re
from typing import Any

import orjson

from kingcupscale import events
from kingcupscale.batches import batch
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.platform import names

# Characters allowed in a request line, a header name and a header value.
_VISIBLE = re.compile(r"[!-~]+")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[ -~\t]*")
# An IPv4 address or a host name, and a port.
_LABEL = r"[0-9A-Za-z](?:[0-9A-Za-z-]{0,61}[0-9A-Za-z])?"
_ADDRESS = re.compile(rf"{_LABEL}(?:\.{_LABEL})*:([0-9]{{1,5}})")
MAX_ADDRESS_CHARACTERS = 253
MAX_PORT = 65535
_DIGITS = re.compile(r"[0-9]{1,15}")
# Largest integer that every JSON implementation represents exactly.
MAX_INTEGER = 2**53 - 1
MAX_SLOTS = 100_000

# Kinds of route in a configuration. A rollout route accepts batches.
_KINDS = {
    "idempotent": catalogue.RouteKind.IDEMPOTENT,
    "non_idempotent": catalogue.RouteKind.NON_IDEMPOTENT,
    "rollout": catalogue.RouteKind.BATCH,
}


def decode_catalogue(value: bytes) -> catalogue.Catalogue:
    """Decodes the configuration that an operator wrote.

    Raises:
        ValueError: If it is invalid.
    """
    try:
        document = orjson.loads(value)
        return catalogue.Catalogue(
            version=int(document["version"]),
            routes=tuple(_decode_route(r) for r in document["routes"]),
            services={
                service["name"]: _decode_service(service)
                for service in document["services"]
            },
            organisations={
                tenant["name"]: catalogue.Organisation(
                    tenant["name"],
                    frozenset(tenant.get("apiKeys", ())),
                    tenant.get("priority"),
                    _regions(tenant),
                )
                for tenant in document.get("tenants", ())
            },
            limits=_decode_limits(document.get("limits", {})),
        )
    except (KeyError, TypeError, AttributeError) as e:
        raise ValueError(f"configuration: {e!r}") from e


def _decode_route(route: dict[str, Any]) -> catalogue.Route:
    if "split" in route:
        shares = tuple(
            catalogue.Share(part["service"], float(part["weight"]))
            for part in route["split"]
        )
    else:
        shares = (catalogue.Share(route["service"], 1.0),)
    kind = _KINDS.get(route["kind"], catalogue.RouteKind.NON_IDEMPOTENT)
    return catalogue.Route(
        name=route["name"],
        host=route["host"].lower(),
        path_prefix=route["pathPrefix"],
        kind=kind,
        shares=shares,
        timeout_s=float(route.get("timeoutMs", 60_000)) / 1000,
        target_latency_s=float(route.get("targetLatencyMs", 1000)) / 1000,
        priority=int(route.get("priority", 5)),
        max_attempts=max(1, int(route.get("maxAttempts", 2))),
        is_open=bool(route.get("public", False)),
        is_streaming=bool(route.get("streaming", False)),
        is_resumable=bool(route.get("resumable", False)),
        max_age_s=float(route.get("maxAgeS", 600)),
        due_s=float(route.get("dueMs", 60_000)) / 1000,
        single_version=bool(route.get("singleVersion", False)),
        allowed_regions=_regions(route),
    )


def _decode_service(service: dict[str, Any]) -> catalogue.Service:
    engine = service.get("engine") or {}
    scaling = service.get("scaling")
    return catalogue.Service(
        name=service["name"],
        max_connections=int(service.get("maxConnections", 100)),
        slots=int(engine.get("slots", 0)),
        models=tuple(model["name"] for model in engine.get("models", ())),
        scaling=_decode_scaling(scaling) if scaling else None,
        cold_start_s=_optional_number(service, "coldStartS"),
        cold_per_s=_optional_number(service, "coldPerS"),
    )


def _regions(fields: dict[str, Any]) -> frozenset[str]:
    """Returns an optional list of regions.

    Raises:
        ValueError: If it is no list of texts. It is not ignored, because that
            would allow all regions.
    """
    regions = fields.get("allowedRegions") or []
    is_list = isinstance(regions, list)
    if not is_list or not all(isinstance(r, str) and r for r in regions):
        raise ValueError("allowedRegions must be a list of texts")
    return frozenset(regions)


def _optional_number(fields: dict[str, Any], name: str) -> float:
    """Returns an optional number; 0 if it is missing or invalid."""
    value = fields.get(name, 0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= value < math.inf:
        return float(value)
    events.log(
        events.Event.CONFIGURED_VALUE_IGNORED,
        name=name,
        found=_type_name(value),
    )
    return 0.0


def _decode_scaling(scaling: dict[str, Any]) -> catalogue.Scaling:
    spot = scaling.get("spotPrice")
    return catalogue.Scaling(
        minimum=int(scaling["min"]),
        maximum=int(scaling["max"]),
        boot_s=float(scaling.get("bootS", 10)),
        spot_price=None if spot is None else float(spot),
        zone_prices={
            zone: float(price)
            for zone, price in scaling.get("zonePrices", {}).items()
        },
    )


def _decode_limits(limits: dict[str, Any]) -> catalogue.Limits:
    defaults = catalogue.Limits()
    return catalogue.Limits(
        header_bytes=int(limits.get("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(limits.get("maxBodyBytes", defaults.body_bytes)),
        header_s=float(limits.get("headerTimeoutMs", defaults.header_s * 1000))
        / 1000,
        idle_s=float(limits.get("idleTimeoutMs", defaults.idle_s * 1000))
        / 1000,
    )


def decode_server(server_id: str, value: bytes) -> registry.ServerEntry:
    """Decodes the entry that a backend server registered for itself.

    Raises:
        ValueError: If it is invalid, such as one from another writer.
    """
    if not _VISIBLE.fullmatch(server_id):
        raise ValueError("the id must be printable ASCII without spaces")
    entry = orjson.loads(value)
    if not isinstance(entry, dict):
        raise ValueError("the entry must be an object")
    _string(entry, "version")
    # "sequence" is only checked: in an entry it counts the server's entries,
    # but in a report the orders that it accepted.
    integer(entry, "sequence")
    return registry.ServerEntry(
        id=server_id,
        service=_string(entry, "service"),
        address=_address(entry),
        zone=_string(entry, "zone"),
        state=registry.ServerState(_string(entry, "state")),
        slots=integer(entry, "slots", maximum=MAX_SLOTS),
        start_ms=integer(entry, "born") if "born" in entry else 0,
        versions=decode_versions(entry.get("models", [])),
        is_spot=bool(entry.get("spot", False)),
        warmup_s=_cold_s(entry),
    )


def _cold_s(entry: dict[str, Any]) -> float | None:
    """Returns the cold time of an entry in seconds; None if it has none.

    A value that is no number is returned as NaN, so that it is logged and
    ignored. It does not make the entry invalid.
    """
    value = entry.get("coldRemainingMs")
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        return math.nan
    return value / 1000


def parse_cold_s(text: str | None) -> float | None:
    """Returns the seconds of a header in milliseconds; None if it is missing.

    NaN if it is no number.
    """
    if text is None:
        return None
    milliseconds = parse_integer(text)
    return math.nan if milliseconds is None else milliseconds / 1000


def _address(entry: dict[str, Any]) -> str:
    """Returns the address of an entry as ``host:port``."""
    address = _string(entry, "address")
    found = _ADDRESS.fullmatch(address[: MAX_ADDRESS_CHARACTERS + 1])
    if found is None or not 0 < int(found[1]) <= MAX_PORT:
        raise ValueError(f"address {address[:60]!r} is not a host and a port")
    return address


def _string(fields: dict[str, Any], name: str) -> str:
    """Returns a field that must be a text with at least one character."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} must be a text, found {_type_name(value)}")
    return value


def integer(
    fields: dict[str, Any], name: str, maximum: int = MAX_INTEGER
) -> int:
    """Returns a field that must be an integer from 0 to ``maximum``.

    Raises:
        ValueError: If it is not. The message does not contain the value, whose
            representation may be unlimited in size and depth.
    """
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(
            f"{name} must be an integer, found {_type_name(value)}"
        )
    if not 0 <= value <= maximum:
        raise ValueError(f"{name} must be from 0 to {maximum}")
    return value


def parse_integer(text: str | None) -> int | None:
    """Returns the integer of a header or a stream event; None if it is none.

    ``str.isdigit`` also accepts digits that ``int`` refuses, such as "²".
    """
    text = (text or "").strip()
    return int(text) if _DIGITS.fullmatch(text) else None


def _type_name(value: Any) -> str:
    return "nothing" if value is None else type(value).__name__


def decode_versions(models: Any) -> dict[str, int]:
    """Returns weight versions by model from a list of models.

    Raises:
        ValueError: If it is invalid.
    """
    if not isinstance(models, list):
        raise ValueError(f"models must be a list, found {_type_name(models)}")
    versions = {}
    for model in models:
        if not isinstance(model, dict):
            raise ValueError(
                f"a model must be an object, not {_type_name(model)}"
            )
        versions[_string(model, "name")] = integer(model, "version")
    return versions


def decode_target_version(value: bytes) -> tuple[str, int]:
    """Decodes the model and the target weight version that a trainer set.

    Raises:
        ValueError: If it is invalid.
    """
    document = orjson.loads(value)
    if not isinstance(document, dict):
        raise ValueError("a target version must be an object")
    return _string(document, "model"), integer(document, "version")


def encode_retirement_state(state: str) -> bytes:
    """Encodes the state of a VM's retirement."""
    return orjson.dumps({"state": state})


def decode_batch(
    batch_id: str, organisation: str, route: catalogue.Route, body: bytes
) -> batch.Batch:
    """Decodes a batch from the body of a trainer's request.

    Raises:
        ValueError: If it is invalid, with the reason.
    """
    try:
        document = orjson.loads(body)
        items = [_decode_item(item) for item in document["items"]]
        return batch.Batch(
            id=batch_id,
            organisation=organisation,
            route=route.name,
            host=route.host,
            step=_count(document, "step"),
            model=_string(document, "model") if "model" in document else "",
            minimum_version=_count(document, "minVersion"),
            wanted_groups=_count(document, "desired"),
            items=items,
        )
    except (KeyError, TypeError, AttributeError) as e:
        raise ValueError(f"batch: {e!r}") from e


def _decode_item(item: dict[str, Any]) -> batch.Item:
    scorer = item.get("scorer")
    headers = _headers(item.get("headers", {}))
    return batch.Item(
        id=_text(item, "id"),
        path=_path(item),
        headers=headers,
        body=_base64(item["body"]),
        tokens=_count(item, "tokens"),
        group=_string(item, "group" if "group" in item else "id"),
        scorer=None
        if scorer is None
        else batch.Scorer(
            id=_text(scorer, "id"),
            host=_text(scorer, "host"),
            path=_path(scorer),
            body=_base64(scorer["body"]),
        ),
        length_hint=_length_hint(headers),
    )


def _count(fields: dict[str, Any], name: str) -> int:
    """Returns an optional field that is an integer; 0 if it is missing."""
    return integer(fields, name) if name in fields else 0


def _headers(fields: dict[str, Any]) -> dict[str, str]:
    """Returns the headers that a sender may set for an item."""
    headers = {}
    for name, value in fields.items():
        if not isinstance(value, str) or not _HEADER_VALUE.fullmatch(value):
            raise ValueError(f"header {name[:40]!r} must be printable ASCII")
        if not _HEADER_NAME.fullmatch(name):
            raise ValueError(f"{name[:40]!r} is not a valid header name")
        headers[name.lower()] = value
    dropped = names.CONNECTION_HEADERS | names.OWN_REQUEST_HEADERS
    return {n: value for n, value in headers.items() if n not in dropped}


def _length_hint(headers: dict[str, str]) -> int:
    return parse_integer(headers.get(names.LENGTH_HINT)) or 0


def _path(fields: dict[str, Any]) -> str:
    path = _text(fields, "path")
    if not path.startswith("/"):
        raise ValueError("a path must begin with a slash")
    return path


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not _VISIBLE.fullmatch(value):
        raise ValueError(f"{name} must be printable ASCII without spaces")
    return value


def _base64(value: Any) -> bytes:
    if not isinstance(value, str):
        raise ValueError("a body must be base64 text")
    return base64.b64decode(value, validate=True)


def encode_results(
    total: int, results: list[batch.Result], after: int
) -> bytes:
    """Encodes a page of results for a reader, starting at a position."""
    return orjson.dumps(
        {
            "total": total,
            "next": after + len(results),
            "results": [_encode_result(result) for result in results],
        }
    )


def _encode_result(result: batch.Result) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "id": result.item,
        "state": result.state.value,
        "text": result.text,
    }
    if result.state is batch.ResultState.DONE:
        fields["versions"] = result.versions
        if result.score:
            fields["score"] = result.score
    return fields
