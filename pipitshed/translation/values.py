"""The field types of message forms, and the values of records while they are translated.

| type      | value in a record                      |
| --------- | -------------------------------------- |
| `text`    | str                                    |
| `integer` | int                                    |
| `decimal` | Decimal, exact                         |
| `flag`    | bool                                   |
| `time`    | int, microseconds of Unix time         |
| `choice`  | str, one of the field's `choices`      |
| `texts`   | list of str                            |
| `records` | list of dict by the field's `fields`   |
"""

from __future__ import annotations

import datetime
import re
from decimal import Context, Decimal, Inexact, InvalidOperation
from typing import Any, Literal

import msgspec

Record = dict[str, Any]
TimeUnit = Literal["rfc3339", "unix-s", "unix-ms"]
MAX_SHOWN_CHARS = 64  # of a value in an error
_MICROSECONDS_PER_UNIT = {"unix-s": 1_000_000, "unix-ms": 1_000}
_INTEGER = re.compile(r"-?(0|[1-9][0-9]{0,18})")
_DECIMAL = re.compile(r"-?(0|[1-9][0-9]{0,18})(\.[0-9]{1,12})?")
_RFC3339 = re.compile(r"(\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d)(\.\d{1,6})?([Zz]|[+-]\d\d:\d\d)")
_MAX_DIGITS = 40  # of a decimal, before and after the point together
# Values are never rounded: an operation that would round raises Inexact.
EXACT = Context(prec=80, Emax=999_999, Emin=-999_999, traps=[Inexact, InvalidOperation])
_SURROGATE = re.compile("[\ud800-\udfff]")
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MICROSECOND = datetime.timedelta(microseconds=1)


class UntranslatableError(ValueError):
    """A form or a step can't express a message. The job is refused for good; nothing is approximated."""

    def __init__(self, field: str, value: object, reason: str) -> None:
        self.field = field
        self.value = excerpt(value)
        self.reason = reason
        super().__init__(f"{field}: {reason}")

    def within(self, path: str) -> UntranslatableError:
        """The same error for a field of the nested record at this path."""
        return UntranslatableError(f"{path}.{self.field}", self.value, self.reason)


def excerpt(value: object) -> str:
    """A value shortened to MAX_SHOWN_CHARS printable characters, for errors."""
    text = value if isinstance(value, str) else str(value)
    text = "".join(
        char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in text[: MAX_SHOWN_CHARS + 1]
    )
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "\N{HORIZONTAL ELLIPSIS}"


class Field(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The type and the bounds of one field of a form; bounds are inclusive."""

    type: Literal["text", "integer", "decimal", "flag", "time", "choice", "texts", "records"]
    required: bool = False
    least: int | None = None
    most: int | None = None
    places: int = 6  # of a decimal, after the point
    longest: int = 4096  # of a text, in characters
    unit: TimeUnit = "rfc3339"
    choices: tuple[str, ...] = ()
    fields: dict[str, Field] = {}  # of nested records


def check(name: str, field: Field, value: Any) -> Any:
    """Return the value if the field can hold it; otherwise raise UntranslatableError."""
    kind = field.type
    if kind == "text":
        if not isinstance(value, str):
            raise UntranslatableError(name, value, "is not text")
        if len(value) > field.longest:
            raise UntranslatableError(name, value, f"is longer than {field.longest} characters")
        if not value.isascii() and _SURROGATE.search(value):
            raise UntranslatableError(name, value, "is not UTF-8")
    elif kind == "flag":
        if not isinstance(value, bool):
            raise UntranslatableError(name, value, "is neither true nor false")
    elif kind == "choice":
        if value not in field.choices or not isinstance(value, str):
            raise UntranslatableError(name, value, f"is not one of {', '.join(field.choices)}")
    elif kind in ("integer", "time"):
        if isinstance(value, bool) or not isinstance(value, int):
            raise UntranslatableError(
                name, value, "is not a whole number" if kind == "integer" else "is not a time"
            )
        _check_bounds(name, field, value)
    elif kind == "decimal":
        if isinstance(value, int) and not isinstance(value, bool):
            value = Decimal(value)
        if not isinstance(value, Decimal) or not value.is_finite():
            raise UntranslatableError(name, value, "is not a number")
        if len(value.as_tuple().digits) > _MAX_DIGITS or not -_MAX_DIGITS < value.adjusted() < 19:
            raise UntranslatableError(name, value, "is out of range")
        exponent = value.normalize(EXACT).as_tuple().exponent
        if isinstance(exponent, int) and -exponent > field.places:
            raise UntranslatableError(name, value, f"has more than {field.places} places")
        _check_bounds(name, field, value)
    elif kind == "texts":
        if not isinstance(value, list):
            raise UntranslatableError(name, value, "is not a list")
        for index, item in enumerate(value):
            check(f"{name}[{index}]", Field("text", longest=field.longest), item)
    else:
        if not isinstance(value, list):
            raise UntranslatableError(name, value, "is not a list")
        for index, item in enumerate(value):
            check_record(field.fields, item, f"{name}[{index}]")
    return value


def _check_bounds(name: str, field: Field, value: int | Decimal) -> None:
    if field.least is not None and value < field.least:
        raise UntranslatableError(name, value, f"is under {field.least}")
    if field.most is not None and value > field.most:
        raise UntranslatableError(name, value, f"is over {field.most}")


def check_record(fields: dict[str, Field], record: Any, path: str = "") -> Record:
    """Return the record if it has all required fields and no unknown ones, each within its bounds.

    Raises UntranslatableError otherwise.
    """
    prefix = f"{path}." if path else ""
    if not isinstance(record, dict):
        raise UntranslatableError(path or "the message", record, "is not a record")
    for name, value in record.items():
        field = fields.get(name)
        if field is None:
            raise UntranslatableError(prefix + name, value, "is not a field of this form")
        record[name] = check(prefix + name, field, value)
    for name, field in fields.items():
        if field.required and name not in record:
            raise UntranslatableError(prefix + name, "", "is required and missing")
    return record


# ---- values as text, for form-encoded messages


def parse(name: str, field: Field, text: str) -> Any:
    """Parse the text of a field's value; UntranslatableError where the text is not of the field's type.

    Bounds are checked by `check`.
    """
    kind = field.type
    if kind == "integer":
        if not _INTEGER.fullmatch(text):
            raise UntranslatableError(name, text, "is not a whole number")
        return int(text)
    if kind == "decimal":
        if not _DECIMAL.fullmatch(text):
            raise UntranslatableError(name, text, "is not a decimal number")
        return Decimal(text)
    if kind == "flag":
        if text not in ("0", "1"):
            raise UntranslatableError(name, text, "is neither 0 nor 1")
        return text == "1"
    if kind == "time":
        return parse_time(name, field, text)
    return text


def render(name: str, field: Field, value: Any) -> str:
    """The text of a value; `parse` turns it into the same value again."""
    if field.type == "flag":
        return "1" if value else "0"
    if field.type == "decimal":
        return f"{value:f}"
    if field.type == "time":
        return str(render_time(name, field, value))
    return str(value)


def parse_time(name: str, field: Field, value: Any) -> int:
    """Convert a time from the form's unit to microseconds of Unix time."""
    if field.unit == "rfc3339":
        match = _RFC3339.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise UntranslatableError(name, value, "is not a time as RFC 3339 has it, to the microsecond")
        whole, fraction, zone = match.groups()
        try:
            moment = datetime.datetime.fromisoformat(
                whole.upper() + (fraction or "") + ("+00:00" if zone in "Zz" else zone)
            )
        except ValueError:
            raise UntranslatableError(name, value, "is no date") from None
        return (moment - _EPOCH) // _MICROSECOND
    if isinstance(value, str):
        if not _INTEGER.fullmatch(value):
            raise UntranslatableError(name, value, "is not a whole number of Unix time")
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise UntranslatableError(name, value, "is not a whole number of Unix time")
    return value * _MICROSECONDS_PER_UNIT[field.unit]


def render_time(name: str, field: Field, value: int) -> str | int:
    """Convert microseconds of Unix time to the form's unit.

    Raises UntranslatableError if the unit is too coarse for the time, or the time is out of its range.
    """
    if field.unit == "rfc3339":
        try:
            moment = _EPOCH + value * _MICROSECOND
        except OverflowError:
            raise UntranslatableError(name, value, "is out of the years 1 to 9999") from None
        text = moment.isoformat().removesuffix("+00:00")
        return (text.rstrip("0") if moment.microsecond else text) + "Z"
    whole, remainder = divmod(value, _MICROSECONDS_PER_UNIT[field.unit])
    if remainder:
        unit = "a second" if field.unit == "unix-s" else "a millisecond"
        raise UntranslatableError(name, value, f"is finer than {unit}")
    return whole
