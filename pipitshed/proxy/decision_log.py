"""A trace of what the decisions are told and what they do, one line each, for counting across a fleet.

It is off unless `LB_TRACE` names a file (or `-` for the standard error). Timers are left out: they are many
and say nothing that the events after them do not.
"""

from __future__ import annotations

import dataclasses
import enum
import sys
from collections.abc import Iterable
from typing import IO, Any

import msgspec

from pipitshed.proxy.published_names import CLASSES, member_name
from pipitshed.scheduling.actions import SetTimer
from pipitshed.scheduling.events import EndpointEntry, TimerFired

OMITTED = (SetTimer, TimerFired)


def _value(value: Any) -> str:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, enum.Enum):
        return member_name(value)
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, EndpointEntry):
        return f"{_value(value.worker)}:{member_name(value.state)}:{value.zone}:{value.started_at_ms:.0f}"
    if isinstance(value, tuple | list):
        return ",".join(_value(one) for one in value)
    return str(value)


def format_line(now: float, way: str, item: object) -> str:
    """`now way Kind name=value ...`; fields that are empty or None are left out."""
    published = CLASSES[type(item)]
    parts = [f"{now:.1f}", way, published.name]
    if dataclasses.is_dataclass(item):
        for field in dataclasses.fields(item):
            if field.name in published.unpublished:
                continue
            value = getattr(item, field.name)
            if value is None or value == ():
                continue
            parts.append(f"{published.fields.get(field.name, field.name)}={_value(value)}")
    return " ".join(parts)


class DecisionLog:
    """Writes the lines of one turn of the loop."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    @classmethod
    def named(cls, name: str) -> DecisionLog:
        return cls(sys.stderr if name == "-" else open(name, "a", buffering=1 << 16))  # noqa: SIM115

    def settings(self, told: object) -> None:
        """The settings as the configuration gave them, first."""
        self._out.write(f"settings {msgspec.json.encode(told).decode()}\n")

    def record(self, now: float, events: Iterable[object], actions: Iterable[object]) -> None:
        write = self._out.write
        for event in events:
            if not isinstance(event, OMITTED):
                write(format_line(now, "<", event) + "\n")
        for action in actions:
            if not isinstance(action, OMITTED):
                write(format_line(now, ">", action) + "\n")

    def close(self) -> None:
        self._out.flush()
