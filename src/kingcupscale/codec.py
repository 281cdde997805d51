"""Conversion of typed messages to and from JSON.

A failed conversion reports every invalid value with its path. Input from
people is decoded strictly; input from other processes may have fields of a
newer release, which are ignored.
"""

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
    """An invalid value in an input.

    Attributes:
        path: Path of the value, such as ``classes.rollout.priority``.
        found: The value, or a description of it.
        expected: A description of valid values.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}, expected {self.expected}"


class DecodeError(ValueError):
    """An input that does not match its type.

    Args:
        mistakes: All invalid values found.
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


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _make_type_check(kind: type | tuple[type, ...], expected: str) -> Any:
    def structure(value: Any, _: Any) -> Any:
        is_bool = isinstance(value, bool) and kind is not bool
        if is_bool or not isinstance(value, kind):
            raise _MismatchError(value, expected)
        return value

    return structure


def _make_range_check(
    kind: Any, minimum: float, is_exclusive: bool, expected: str
) -> Any:
    check = _make_type_check(kind, expected)

    def structure(value: Any, _: Any) -> Any:
        check(value, None)
        is_in_range = value > minimum if is_exclusive else value >= minimum
        if not is_in_range:
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


# Prefix of bytes in base64. Earlier releases wrote base 85, whose alphabet does
# not have this character, so the two encodings cannot be confused.
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
    """Returns a converter for messages between nodes and for stored data.

    Bytes are encoded as base64, since its encoder is written in C, unlike that
    of base 85. Data in base 85 from nodes of an earlier release is decoded too;
    these nodes reject data in base64.
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
    hook(int, _make_type_check(int, "an integer"))
    hook(float, _make_type_check((int, float), "a number"))
    hook(str, _make_type_check(str, "a string"))
    hook(bool, _make_type_check(bool, "true or false"))
    hook(
        PositiveInt, _make_range_check(int, 1, False, "an integer of 1 or more")
    )
    hook(
        NaturalInt, _make_range_check(int, 0, False, "an integer of 0 or more")
    )
    hook(
        PositiveSeconds,
        _make_range_check((int, float), 0, True, "a number of seconds above 0"),
    )
    hook(Name, _structure_name)
    hook(datetime.datetime, _structure_datetime)
    return converter


# Unknown fields are errors in input from people. Input from other processes
# may come from a newer release, which has more fields.
_strict_converter = _make_converter(is_strict=True)
_converter = _make_converter(is_strict=False)


# Describes an exception as the found and the expected value, separated by a NUL
# character. cattrs appends the path, and ``_to_mistake`` splits the result.
def _describe(exception: BaseException, _: type | None) -> str:
    if isinstance(exception, _MismatchError):
        return f"{_abbreviate(exception.found)}\0{exception.expected}"
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
    """Converts plain data from another process to a typed message.

    Args:
        kind: The attrs class of the message.
        value: Plain data; unknown fields are ignored.

    Raises:
        DecodeError: If the data does not match the class.
    """
    return _structure(_converter, kind, value)


def structure_strictly(kind: type[T], value: Any) -> T:
    """Converts plain data written by a person to a typed message.

    Args:
        kind: The attrs class of the message.
        value: Plain data, as read from JSON or TOML.

    Raises:
        DecodeError: If the data does not match the class, or has unknown
            fields.
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
    """Converts a typed message to plain data."""
    return _converter.unstructure(value)


def encode(value: Any) -> bytes:
    """Encodes a typed message as JSON in UTF-8."""
    return orjson.dumps(
        _converter.unstructure(value), option=orjson.OPT_SORT_KEYS
    )


def decode(kind: type[T], data: bytes | str) -> T:
    """Decodes a typed message from another process from JSON.

    Raises:
        orjson.JSONDecodeError: If the data is not JSON in UTF-8.
        DecodeError: If the JSON does not match the class.
    """
    return structure(kind, orjson.loads(data))


def decode_strictly(kind: type[T], data: bytes) -> T:
    """Decodes a typed message written by a person from JSON.

    Raises:
        orjson.JSONDecodeError: If the data is not JSON in UTF-8.
        DecodeError: If the JSON does not match the class, or has unknown
            fields.
    """
    return structure_strictly(kind, orjson.loads(data))
