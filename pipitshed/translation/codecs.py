"""Codecs between the bytes of a message form and a record: form-encoded and JSON.

Decoding is strict: a repeated field, an unknown field, or text that is not UTF-8 raises UntranslatableError
and is never dropped.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from decimal import Decimal
from typing import Any, Protocol
from urllib.parse import parse_qsl, urlencode

import msgspec

from pipitshed.translation.values import (
    Field,
    Record,
    UntranslatableError,
    check_record,
    parse,
    parse_time,
    render,
    render_time,
)

MAX_FORM_FIELDS = 1024  # of one form-encoded message
WHOLE_MESSAGE = "the message"  # the field that an error names if no single field is at fault


class Codec(Protocol):
    """Decodes and encodes one class's requests or results in one form."""

    def decode(self, data: bytes) -> Record:
        """Parse a message; UntranslatableError if it is not valid in this form."""

    def encode(self, record: Record) -> bytes:
        """Serialize a record; UntranslatableError if the form can't express it."""


class FormCodec:
    """application/x-www-form-urlencoded. Flags are 0 and 1; nested records are not supported."""

    def __init__(self, fields: Mapping[str, Field], envelope_fields: frozenset[str] = frozenset()) -> None:
        self.fields = dict(fields)
        self._envelope_fields = envelope_fields  # these are not part of the record

    def pairs(self, data: bytes) -> list[tuple[str, str]]:
        """Parse the body into names and values without checking them against the form's fields."""
        if not data:
            return []
        try:
            return parse_qsl(
                data.decode("ascii"),
                keep_blank_values=True,
                strict_parsing=True,
                encoding="utf-8",
                errors="strict",
                max_num_fields=MAX_FORM_FIELDS,
            )
        except UnicodeDecodeError:
            raise UntranslatableError(WHOLE_MESSAGE, data[:32], "is not UTF-8") from None
        except ValueError:
            raise UntranslatableError(WHOLE_MESSAGE, data[:32], "is not form-encoded") from None

    def decode(self, data: bytes) -> Record:
        record: Record = {}
        for name, text in self.pairs(data):
            if name in self._envelope_fields:
                continue
            field = self.fields.get(name)
            if not name:
                raise UntranslatableError(WHOLE_MESSAGE, text, "has a field without a name")
            if field is None:
                raise UntranslatableError(name, text, "is not a field of this form")
            if field.type == "texts":
                record.setdefault(name, []).append(text)
            elif name in record:
                raise UntranslatableError(name, text, "is told twice")
            else:
                record[name] = parse(name, field, text)
        return check_record(self.fields, record)

    def encode(self, record: Record) -> bytes:
        check_record(self.fields, record)
        pairs: list[tuple[str, str]] = []
        for name, field in self.fields.items():
            if name not in record:
                continue
            if field.type == "texts":
                pairs += [(name, item) for item in record[name]]
            else:
                pairs.append((name, render(name, field, record[name])))
        return urlencode(pairs).encode()


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> Record:
    record = dict(pairs)
    if len(record) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for index, name in enumerate(names) if name in names[:index])
        raise UntranslatableError(repeated, record[repeated], "is told twice")
    return record


def _no_constant(text: str) -> None:
    raise UntranslatableError(WHOLE_MESSAGE, text, "is not a number")


# Of the JSON libraries in use, only the standard one can detect a repeated name.
_json_decoder = json.JSONDecoder(
    object_pairs_hook=_reject_duplicates, parse_float=Decimal, parse_constant=_no_constant
)
_json_encode = msgspec.json.Encoder(decimal_format="number").encode


class JsonCodec:
    """One JSON object. Decimals are read and written exactly."""

    def __init__(self, fields: Mapping[str, Field]) -> None:
        self.fields = dict(fields)

    def decode(self, data: bytes) -> Record:
        try:
            value = _json_decoder.decode(data.decode("utf-8"))
        except UntranslatableError:
            raise
        except UnicodeDecodeError:
            raise UntranslatableError(WHOLE_MESSAGE, data[:32], "is not UTF-8") from None
        except (ValueError, RecursionError, ArithmeticError):
            raise UntranslatableError(WHOLE_MESSAGE, data[:32], "is not JSON") from None
        if not isinstance(value, dict):
            raise UntranslatableError(WHOLE_MESSAGE, value, "is not a record")
        # Empty lists are dropped: protobuf can't distinguish an empty list from a missing one.
        value = {name: item for name, item in value.items() if item != []}
        return check_record(self.fields, self._convert_times(self.fields, value, parse_time))

    def encode(self, record: Record) -> bytes:
        check_record(self.fields, record)
        return _json_encode(self._convert_times(self.fields, record, render_time))

    def _convert_times(self, fields: Mapping[str, Field], record: Record, convert: Any) -> Record:
        """A copy of the record with `convert` applied to its times, also in nested records."""
        converted = dict(record)
        for name, field in fields.items():
            if name not in record:
                continue
            if field.type == "time":
                converted[name] = convert(name, field, record[name])
            elif field.type == "records" and isinstance(record[name], list):
                converted[name] = [
                    self._convert_times(field.fields, item, convert) if isinstance(item, dict) else item
                    for item in record[name]
                ]
        return converted
