"""The codec of the protobuf form, for the messages of docs/interfaces/planner.proto."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from google.protobuf import descriptor as pb
from google.protobuf.message import DecodeError, Message
from google.protobuf.unknown_fields import UnknownFieldSet

from pipitshed.translation.codecs import WHOLE_MESSAGE
from pipitshed.translation.values import (
    Field,
    Record,
    UntranslatableError,
    check_record,
    parse_time,
    render_time,
)
from pipitshed.worker_api import planner_pb2

_FieldDescriptor = pb.FieldDescriptor
_RANGES = {
    _FieldDescriptor.TYPE_UINT32: (0, 2**32 - 1),
    _FieldDescriptor.TYPE_INT32: (-(2**31), 2**31 - 1),
    _FieldDescriptor.TYPE_UINT64: (0, 2**64 - 1),
    _FieldDescriptor.TYPE_INT64: (-(2**63), 2**63 - 1),
}
# protobuf type: the field type of the form that it can hold
_TYPE_NAMES = {
    _FieldDescriptor.TYPE_STRING: "text",
    _FieldDescriptor.TYPE_BOOL: "flag",
    _FieldDescriptor.TYPE_ENUM: "choice",
}


def _enum_prefix(enum: Any) -> str:
    """The prefix of the enum's value names by the protobuf style guide: HANDLING_ for Handling."""
    name = "".join(f"_{char}" if char.isupper() and index else char for index, char in enumerate(enum.name))
    return name.upper() + "_"


def problems(message: str, fields: Mapping[str, Field]) -> list[tuple[str, str]]:
    """(field, problem) for each field that differs between the form and the interface's message.

    `message` is a path such as `RunRequest.quote`. Every field of the message must be in the form.
    """
    descriptor = _descriptor(message)
    if descriptor is None:
        return [("", f"the interface has no message {message!r}")]
    return _problems(descriptor, fields)


def _problems(descriptor: Any, fields: Mapping[str, Field]) -> list[tuple[str, str]]:
    result: list[tuple[str, str]] = []
    for name, field in fields.items():
        descriptor_field = descriptor.fields_by_name.get(name)
        if descriptor_field is None:
            result.append((name, f"{descriptor.name} has no such field"))
        elif field.type == "records":
            if descriptor_field.type != _FieldDescriptor.TYPE_MESSAGE or not descriptor_field.is_repeated:
                result.append((name, f"{descriptor.name} has no repeated message there"))
            else:
                result += [
                    (f"{name}.{inner}", problem)
                    for inner, problem in _problems(descriptor_field.message_type, field.fields)
                ]
        elif descriptor_field.is_repeated != (field.type == "texts"):
            result.append(
                (name, f"{descriptor.name} holds {'a list' if descriptor_field.is_repeated else 'one value'}")
            )
        elif descriptor_field.type in _RANGES:
            if field.type not in ("integer", "time") or (field.type == "time" and field.unit == "rfc3339"):
                result.append((name, f"{descriptor.name} holds a whole number, not {field.type}"))
        elif _TYPE_NAMES.get(descriptor_field.type) != ("text" if field.type == "texts" else field.type):
            result.append((name, f"{descriptor.name} can't hold {field.type}"))
        elif descriptor_field.type == _FieldDescriptor.TYPE_ENUM:
            enum_values = descriptor_field.enum_type.values_by_name
            result += [
                (name, f"{descriptor_field.enum_type.name} has no {choice!r}")
                for choice in field.choices
                if _enum_prefix(descriptor_field.enum_type) + choice.upper() not in enum_values
            ]
    result += [
        (name, f"is a field of {descriptor.name}, but not of the form")
        for name in descriptor.fields_by_name
        if name not in fields
    ]
    return result


def _descriptor(message: str) -> Any:
    outer, _, inner = message.partition(".")
    outer_message = planner_pb2.DESCRIPTOR.message_types_by_name.get(outer)
    field = outer_message.fields_by_name.get(inner) if outer_message is not None else None
    return field.message_type if field is not None else None


class ProtobufCodec:
    """Codec of one member of a oneof: `RunRequest.quote` is the field `quote` of RunRequest."""

    def __init__(self, message: str, fields: Mapping[str, Field]) -> None:
        outer, _, self._part = message.partition(".")
        self._outer: type[Message] = getattr(planner_pb2, outer)
        descriptor = _descriptor(message)
        self.fields = _with_ranges(descriptor, fields)
        self._field_plans = _field_plans(descriptor, self.fields)

    def decode(self, data: bytes) -> Record:
        message = self._outer()
        try:
            message.ParseFromString(data)
        except DecodeError:
            raise UntranslatableError(
                WHOLE_MESSAGE, data[:32], "is not a message of this interface"
            ) from None
        return self.read(message)

    def read(self, message: Message) -> Record:
        """The record of a parsed message; UntranslatableError if it does not fit the form."""
        if len(UnknownFieldSet(message)):
            raise UntranslatableError(WHOLE_MESSAGE, "", "holds a field that this interface does not know")
        if not message.HasField(self._part):
            raise UntranslatableError(self._part, "", "is missing")
        return check_record(self.fields, _read_fields(getattr(message, self._part), self._field_plans))

    def encode(self, record: Record) -> bytes:
        check_record(self.fields, record)
        message = self._outer()
        part = getattr(message, self._part)
        part.SetInParent()
        _write_fields(part, record, self._field_plans)
        return message.SerializeToString()


class _FieldPlan:
    """How one field is read and written: its enum numbers, and the plans of nested fields."""

    __slots__ = ("name", "field", "numbers", "names", "nested")

    def __init__(self, descriptor_field: Any, name: str, field: Field) -> None:
        self.name, self.field = name, field
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.nested: list[_FieldPlan] = []
        if field.type == "choice":
            enum_values = descriptor_field.enum_type.values_by_name
            self.numbers = {
                choice: enum_values[_enum_prefix(descriptor_field.enum_type) + choice.upper()].number
                for choice in field.choices
            }
            self.names = {number: choice for choice, number in self.numbers.items()}
        elif field.type == "records":
            self.nested = _field_plans(descriptor_field.message_type, field.fields)


def _field_plans(descriptor: Any, fields: Mapping[str, Field]) -> list[_FieldPlan]:
    return [_FieldPlan(descriptor.fields_by_name[name], name, field) for name, field in fields.items()]


def _with_ranges(descriptor: Any, fields: Mapping[str, Field]) -> dict[str, Field]:
    """The fields with their bounds narrowed to the ranges of the interface's integer types.

    The range of a time is checked when it is written, as it is in the form's unit only then.
    """
    bounded: dict[str, Field] = {}
    for name, field in fields.items():
        descriptor_field = descriptor.fields_by_name[name]
        if field.type == "integer" and descriptor_field.type in _RANGES:
            least, most = _RANGES[descriptor_field.type]
            field = Field(
                "integer",
                field.required,
                least if field.least is None else max(least, field.least),
                most if field.most is None else min(most, field.most),
            )
        elif field.type == "records":
            field = Field(
                "records", field.required, fields=_with_ranges(descriptor_field.message_type, field.fields)
            )
        bounded[name] = field
    return bounded


def _read_fields(message: Any, field_plans: list[_FieldPlan]) -> Record:
    if len(UnknownFieldSet(message)):
        raise UntranslatableError(WHOLE_MESSAGE, "", "holds a field that this interface does not know")
    record: Record = {}
    for field_plan in field_plans:
        name, kind = field_plan.name, field_plan.field.type
        if kind == "texts":
            if items := list(getattr(message, name)):
                record[name] = items
        elif kind == "records":
            if inner := [_read_fields(item, field_plan.nested) for item in getattr(message, name)]:
                record[name] = inner
        elif message.HasField(name):
            value = getattr(message, name)
            if kind == "choice":
                if value not in field_plan.names:
                    raise UntranslatableError(name, value, "is a choice that this form does not know")
                value = field_plan.names[value]
            elif kind == "time":
                value = parse_time(name, field_plan.field, value)
            record[name] = value
    return record


def _write_fields(message: Any, record: Record, field_plans: list[_FieldPlan]) -> None:
    for field_plan in field_plans:
        name, kind = field_plan.name, field_plan.field.type
        if name not in record:
            continue
        value = record[name]
        if kind == "texts":
            getattr(message, name).extend(value)
        elif kind == "records":
            messages = getattr(message, name)
            for item in value:
                _write_fields(messages.add(), item, field_plan.nested)
        else:
            if kind == "choice":
                value = field_plan.numbers[value]
            elif kind == "time":
                value = render_time(name, field_plan.field, value)
            try:
                setattr(message, name, value)
            except ValueError:
                raise UntranslatableError(name, value, "is out of the interface's range") from None
