"""Typed messages to and from JSON, with every mistake named by its path."""

import base64
import datetime
from typing import Any
from typing import NewType
from typing import TypeVar

import attrs
import cattrs
import cattrs.preconf.orjson
import cattrs.v
import orjson

T = TypeVar("T")

PositiveInt = NewType("PositiveInt", int)
NaturalInt = NewType("NaturalInt", int)
PositiveSeconds = NewType("PositiveSeconds", float)
Name = NewType("Name", str)

NAME_MAX_CHARACTERS = 64


@attrs.frozen
class Mistake:
    """One thing wrong with an input.

    Attributes:
        path: Where it stands, such as ``classes.rollout.priority``.
        found: What was found there.
        expected: What would have been right.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}, expected {self.expected}"


class DecodeError(ValueError):
    """An input that does not fit its type.

    Args:
        mistakes: All mistakes found.
    """

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("; ".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


class _MismatchError(ValueError):
    """A single value of the wrong type or range."""

    def __init__(self, found: Any, expected: str) -> None:
        super().__init__(expected)
        self.found = found
        self.expected = expected


def _show(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _strict(kind: type | tuple[type, ...], expected: str) -> Any:
    def structure(value: Any, _: Any) -> Any:
        is_bool = isinstance(value, bool) and kind is not bool
        if is_bool or not isinstance(value, kind):
            raise _MismatchError(value, expected)
        return value

    return structure


def _bounded(kind: Any, minimum: float, above: bool, expected: str) -> Any:
    check = _strict(kind, expected)

    def structure(value: Any, _: Any) -> Any:
        check(value, None)
        fits = value > minimum if above else value >= minimum
        if not fits:
            raise _MismatchError(value, expected)
        return value

    return structure


def _structure_name(value: Any, _: Any) -> str:
    expected = f"a name of 1 to {NAME_MAX_CHARACTERS} letters, digits, . _ -"
    if not isinstance(value, str) or not 0 < len(value) <= NAME_MAX_CHARACTERS:
        raise _MismatchError(value, expected)
    if not all(c.isascii() and (c.isalnum() or c in "._-") for c in value):
        raise _MismatchError(value, expected)
    return value


def _structure_datetime(value: Any, _: Any) -> datetime.datetime:
    try:
        return datetime.datetime.fromisoformat(value)
    except (TypeError, ValueError):
        raise _MismatchError(value, "a date and time, ISO 8601") from None


# Marks bytes in base64. Base 85, which earlier releases wrote, has no such
# character, so that neither form is taken for the other.
_BASE64_MARK = ":"


def _unstructure_bytes(value: bytes) -> str:
    return _BASE64_MARK + base64.b64encode(value).decode() if value else ""


def _structure_bytes(value: Any, _: Any) -> bytes:
    if not isinstance(value, str):
        raise _MismatchError(value, "bytes as text")
    if value.startswith(_BASE64_MARK):
        return base64.b64decode(value[len(_BASE64_MARK) :], validate=True)
    return base64.b85decode(value)


def make_wire_converter() -> cattrs.Converter:
    """Returns a converter for what nodes tell each other and keep.

    Bytes are text in base64, which a C library encodes; what a node of an
    earlier release wrote is understood, and its reader refuses what this one
    writes.
    """
    converter = cattrs.preconf.orjson.make_converter()
    converter.register_unstructure_hook(bytes, _unstructure_bytes)
    converter.register_structure_hook(bytes, _structure_bytes)
    return converter


def _make_converter(is_strict: bool) -> cattrs.Converter:
    converter = cattrs.preconf.orjson.make_converter(
        forbid_extra_keys=is_strict
    )
    hook = converter.register_structure_hook
    hook(int, _strict(int, "an integer"))
    hook(float, _strict((int, float), "a number"))
    hook(str, _strict(str, "a string"))
    hook(bool, _strict(bool, "true or false"))
    hook(PositiveInt, _bounded(int, 1, False, "an integer of 1 or more"))
    hook(NaturalInt, _bounded(int, 0, False, "an integer of 0 or more"))
    hook(
        PositiveSeconds,
        _bounded((int, float), 0, True, "a number of seconds above 0"),
    )
    hook(Name, _structure_name)
    hook(datetime.datetime, _structure_datetime)
    return converter


# What people write is held to the known fields; what other processes write
# may come from a newer release with more of them.
_strict_converter = _make_converter(is_strict=True)
_converter = _make_converter(is_strict=False)


def _describe(exception: BaseException, _: type | None) -> str:
    if isinstance(exception, _MismatchError):
        return f"{_show(exception.found)}\0{exception.expected}"
    if isinstance(exception, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(exception.extra_fields))
        return f"unknown field {names}\0only known fields"
    if isinstance(exception, KeyError):
        return "nothing\0a value"
    if isinstance(exception, TypeError | AttributeError):
        return "another type\0a table or list of the documented shape"
    return f"an invalid value\0{exception}"


def _to_mistake(line: str) -> Mistake:
    description, _, path = line.rpartition(" @ ")
    found, _, expected = description.partition("\0")
    path = path.removeprefix("$").removeprefix(".").replace("['", ".")
    return Mistake(path.replace("']", "") or "document", found, expected)


def structure(kind: type[T], value: Any) -> T:
    """Turns plain data of another process into a typed message.

    Args:
        kind: The attrs class to make.
        value: Plain data; fields not known are left out.

    Raises:
        DecodeError: With every mistake in the data.
    """
    return _structure(_converter, kind, value)


def structure_strictly(kind: type[T], value: Any) -> T:
    """Turns plain data that somebody wrote into a typed message.

    Args:
        kind: The attrs class to make.
        value: Plain data, as read from JSON or TOML.

    Raises:
        DecodeError: With every mistake in the data, unknown fields included.
    """
    return _structure(_strict_converter, kind, value)


def _structure(converter: cattrs.Converter, kind: type[T], value: Any) -> T:
    try:
        return converter.structure(value, kind)
    except (cattrs.BaseValidationError, cattrs.ForbiddenExtraKeysError) as e:
        lines = cattrs.transform_error(e, format_exception=_describe)
        raise DecodeError([_to_mistake(line) for line in lines]) from None
    except (TypeError, ValueError, AttributeError) as e:
        raise DecodeError([_to_mistake(_describe(e, None) + " @ $")]) from None


def unstructure(value: Any) -> Any:
    """Returns the plain data of a typed message."""
    return _converter.unstructure(value)


def encode(value: Any) -> bytes:
    """Returns a typed message as JSON in UTF-8."""
    return orjson.dumps(
        _converter.unstructure(value), option=orjson.OPT_SORT_KEYS
    )


def decode(kind: type[T], data: bytes | str) -> T:
    """Reads a typed message of another process from JSON.

    Raises:
        orjson.JSONDecodeError: If the data is not JSON in UTF-8.
        DecodeError: If the JSON does not fit the type.
    """
    return structure(kind, orjson.loads(data))


def decode_strictly(kind: type[T], data: bytes) -> T:
    """Reads a typed message that somebody wrote from JSON.

    Raises:
        orjson.JSONDecodeError: If the data is not JSON in UTF-8.
        DecodeError: If the JSON does not fit, or has unknown fields.
    """
    return structure_strictly(kind, orjson.loads(data))
