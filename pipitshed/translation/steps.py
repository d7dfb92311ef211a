"""Steps that convert records between neighbouring versions of the form, up or down, and chains of steps.

A rule is keyed by the upper version's field and names its source in the lower version. Rules are reversible:
`down` turns the result of `up` into the original record again, with the rules' defaults written out.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence
from decimal import Decimal, Inexact
from typing import Any

import msgspec

from pipitshed.translation.values import EXACT, Field, Record, UntranslatableError


class Rule(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """How one field of the upper version is derived from the lower version."""

    source: str = msgspec.field(default="", name="from")  # the lower version's field; empty if it has none
    scale: int = 1  # upper value / lower value
    values: dict[str, str] = {}  # lower choice (or true, false): upper choice; each upper choice only once
    default: str | int | float | bool | None = None  # upper value if the lower record has none
    cannot: str = ""  # reason in errors if the lower version can't express the field, or can't provide it
    fields: dict[str, Rule] = {}  # of nested records


class Side(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The rules for one message: a class's request or result."""

    rules: dict[str, Rule] = {}  # by the upper version's field
    cannot: dict[str, str] = {}  # lower field that the upper version can't express: reason


class ClassSteps(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The rules of one step for one class."""

    request: Side = Side()
    result: Side = Side()


_FIELD_PATH = re.compile(r"([^.\[\]]+)(\[\d+\])?(?:\.(.+))?")
_NUMBER_TYPES = ("integer", "decimal")


def problems(side: Side, lower: Mapping[str, Field], upper: Mapping[str, Field]) -> Iterator[tuple[str, str]]:
    """(field, problem) for each field of either version that the rules omit or can't convert."""
    targets: dict[str, str] = {}
    for name, rule in side.rules.items():
        target, source = upper.get(name), lower.get(rule.source)
        if target is None:
            yield name, "is not a field of the upper version"
            continue
        if rule.source:
            if source is None:
                yield name, f"comes from {rule.source!r}, which is not a field of the lower version"
                continue
            if rule.source in targets:
                yield name, f"{rule.source!r} is already the source of {targets[rule.source]!r}"
            targets[rule.source] = name
            yield from _conversion_problems(name, rule, source, target)
        elif rule.default is None and not rule.cannot:
            yield name, "has no source: it needs `from`, `default` or `cannot`"
        if rule.default is not None:
            yield from _default_problems(name, rule, target)
    for name, field in upper.items():
        if name not in side.rules:
            yield name, "has no rule" + (", though the upper version requires it" if field.required else "")
    for name in lower:
        if name not in targets and name not in side.cannot:
            yield name, "would be dropped: no rule uses it, and `cannot` gives no reason"
    for name in side.cannot:
        if name not in lower:
            yield name, "is not a field of the lower version"
        elif name in targets:
            yield name, f"is listed in `cannot`, but is the source of {targets[name]!r}"


def _conversion_problems(name: str, rule: Rule, source: Field, target: Field) -> Iterator[tuple[str, str]]:
    if target.required and not source.required and rule.default is None and not rule.cannot:
        yield name, "is required only by the upper version: it needs `default`, or `cannot` with a reason"
    if rule.values:
        lower = ("true", "false") if source.type == "flag" else source.choices
        upper = ("true", "false") if target.type == "flag" else target.choices
        for old, new in rule.values.items():
            if old not in lower:
                yield name, f"{old!r} is not a choice of the lower version"
            if new not in upper:
                yield name, f"{new!r} is not a choice of the upper version"
        if len(set(rule.values.values())) != len(rule.values):
            yield name, "two choices become one, and can't be told apart when converted back"
    elif source.type in _NUMBER_TYPES and target.type in _NUMBER_TYPES:
        if rule.scale < 1:
            yield name, "scale must be 1 or more"
    elif source.type != target.type:
        yield name, f"{source.type} can't be converted to {target.type}"
    elif source.type == "records":
        inner = Side(rule.fields, {})
        yield from (
            (f"{name}.{field}", problem) for field, problem in problems(inner, source.fields, target.fields)
        )
    elif source.type == "choice" and set(source.choices) - set(target.choices) and not rule.values:
        missing_choices = ", ".join(sorted(set(source.choices) - set(target.choices)))
        yield name, f"the upper version has no {missing_choices}: it needs `values`"


def _default_problems(name: str, rule: Rule, target: Field) -> Iterator[tuple[str, str]]:
    python_types: dict[str, tuple[type, ...]] = {
        "text": (str,),
        "choice": (str,),
        "integer": (int,),
        "decimal": (int, float),
        "flag": (bool,),
    }
    if (
        not isinstance(rule.default, python_types.get(target.type, ()))
        or (target.type == "choice" and rule.default not in target.choices)
        or (target.type == "integer" and isinstance(rule.default, bool))
    ):
        yield name, f"{rule.default!r} is not a valid {target.type} of the upper version"


class _FieldConverter:
    """One rule, prepared for converting values in both directions."""

    __slots__ = (
        "name",
        "source",
        "scale",
        "up",
        "down",
        "default",
        "cannot",
        "nested",
        "is_integer",
        "required",
        "source_is_integer",
    )

    def __init__(self, name: str, rule: Rule, lower: Mapping[str, Field], upper: Mapping[str, Field]) -> None:
        target, source = upper[name], lower.get(rule.source)
        self.name, self.source, self.cannot = name, rule.source, rule.cannot
        self.scale = rule.scale
        self.is_integer = target.type == "integer"
        self.source_is_integer = source is not None and source.type == "integer"
        self.required = target.required
        self.default: Any = rule.default
        if target.type == "decimal" and rule.default is not None:
            self.default = Decimal(str(rule.default))
        flags: dict[str, Any] = {"true": True, "false": False}
        lower_flag = source is not None and source.type == "flag"
        self.up = {
            flags[old] if lower_flag else old: flags[new] if target.type == "flag" else new
            for old, new in rule.values.items()
        }
        self.down = {new: old for old, new in self.up.items()}
        self.nested: list[_FieldConverter] = []
        if target.type == "records" and source is not None:
            self.nested = [
                _FieldConverter(nested_name, nested_rule, source.fields, target.fields)
                for nested_name, nested_rule in rule.fields.items()
            ]

    def convert_up(self, value: Any, path: str) -> Any:
        if self.nested:
            return [_up(self.nested, {}, item, f"{path}[{index}].") for index, item in enumerate(value)]
        if self.up:
            if value not in self.up:
                raise UntranslatableError(path, value, "has no counterpart in the newer form")
            return self.up[value]
        if self.scale != 1 or self.is_integer != self.source_is_integer:
            scaled = EXACT.multiply(Decimal(value), Decimal(self.scale))
            if not self.is_integer:
                return scaled
            if scaled != scaled.to_integral_value():
                raise UntranslatableError(path, value, "is finer than the newer form can express")
            return int(scaled)
        return value

    def convert_down(self, value: Any, path: str) -> Any:
        if self.nested:
            return [_down(self.nested, item, f"{path}[{index}].") for index, item in enumerate(value)]
        if self.down:
            if value not in self.down:
                raise UntranslatableError(path, value, "has no counterpart in the older form")
            return self.down[value]
        if self.scale != 1 or self.is_integer != self.source_is_integer:
            if self.source_is_integer:
                quotient, remainder = divmod(value, self.scale)
                if remainder:
                    raise UntranslatableError(path, value, "is finer than the older form can express")
                return int(quotient)
            try:
                return EXACT.divide(Decimal(value), Decimal(self.scale))
            except Inexact:
                raise UntranslatableError(
                    path, value, "can't be expressed exactly by the older form"
                ) from None
        return value


def _up(
    converters: Sequence[_FieldConverter], cannot: Mapping[str, str], record: Record, path: str = ""
) -> Record:
    for name, reason in cannot.items():
        if name in record:
            raise UntranslatableError(path + name, record[name], reason)
    result: Record = {}
    for converter in converters:
        if converter.source and converter.source in record:
            result[converter.name] = converter.convert_up(record[converter.source], path + converter.source)
        elif converter.default is not None:
            result[converter.name] = converter.default
        elif converter.required:
            raise UntranslatableError(
                path + converter.name, "", converter.cannot or "is required by the newer form and not told"
            )
    return result


def _down(converters: Sequence[_FieldConverter], record: Record, path: str = "") -> Record:
    result: Record = {}
    for converter in converters:
        if converter.name not in record:
            continue
        value = record[converter.name]
        if converter.source:
            result[converter.source] = converter.convert_down(value, path + converter.name)
        elif converter.default is None or value != converter.default:
            raise UntranslatableError(
                path + converter.name, value, converter.cannot or "can't be expressed by the older form"
            )
    return result


class Step:
    """Converts the records of one message between two neighbouring versions."""

    def __init__(self, side: Side, lower: Mapping[str, Field], upper: Mapping[str, Field]) -> None:
        self._converters = [_FieldConverter(name, rule, lower, upper) for name, rule in side.rules.items()]
        self._cannot = dict(side.cannot)

    def up(self, record: Record) -> Record:
        """The upper version's record; UntranslatableError if that version can't express it."""
        return _up(self._converters, self._cannot, record)

    def down(self, record: Record) -> Record:
        """The lower version's record; UntranslatableError if that version can't express it."""
        return _down(self._converters, record)

    def lower_name(self, field: str) -> str:
        """The lower version's path of a field such as `goods[2].sku`; unchanged if it has no such field."""
        return _lower_name(self._converters, field)


def _lower_name(converters: Sequence[_FieldConverter], field: str) -> str:
    match = _FIELD_PATH.fullmatch(field)
    if match is None:
        return field
    name, index, nested_path = match.groups()
    converter = next(
        (candidate for candidate in converters if candidate.name == name and candidate.source), None
    )
    if converter is None:
        return field
    return (
        converter.source
        + (index or "")
        + (f".{_lower_name(converter.nested, nested_path)}" if nested_path else "")
    )


class Chain:
    """Consecutive steps between a lower version and an upper one."""

    def __init__(self, steps: Sequence[Step]) -> None:
        self._steps = tuple(steps)
        self._reversed = tuple(reversed(self._steps))

    def up(self, record: Record) -> Record:
        for step_count, step in enumerate(self._steps):
            try:
                record = step.up(record)
            except UntranslatableError as error:
                raise self.with_lower_name(error, step_count) from None
        return record

    def with_lower_name(
        self, error: UntranslatableError, step_count: int | None = None
    ) -> UntranslatableError:
        """The error with the field's name in the chain's lowest version: the sender knows no other name.

        `step_count` is the number of steps that the record has passed; None stands for all.
        """
        field = error.field
        for step in reversed(self._steps[:step_count]):
            field = step.lower_name(field)
        return UntranslatableError(field, error.value, error.reason)

    def down(self, record: Record) -> Record:
        for step in self._reversed:
            record = step.down(record)
        return record
