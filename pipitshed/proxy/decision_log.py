"""A log of the dispatcher's events and actions, one line each, for analysis across a fleet.

The log is off unless `LB_TRACE` names a file (or `-` for standard error). Timers are omitted: there are many
of them, and the events that follow a timer show its effect.
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
STANDARD_ERROR_NAME = "-"
FILE_BUFFER_BYTES = 1 << 16
EVENT_MARK = "<"
ACTION_MARK = ">"


def _format_value(value: Any) -> str:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, enum.Enum):
        return member_name(value)
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, EndpointEntry):
        return (
            f"{_format_value(value.worker)}:{member_name(value.state)}:{value.zone}:{value.started_at_ms:.0f}"
        )
    if isinstance(value, tuple | list):
        return ",".join(_format_value(item) for item in value)
    return str(value)


def format_line(now_ms: float, mark: str, item: object) -> str:
    """Format one line, `now_ms mark Name field=value ...`; fields that are empty or None are omitted."""
    published = CLASSES[type(item)]
    parts = [f"{now_ms:.1f}", mark, published.name]
    if dataclasses.is_dataclass(item):
        for field in dataclasses.fields(item):
            if field.name in published.unpublished:
                continue
            value = getattr(item, field.name)
            if value is None or value == ():
                continue
            parts.append(f"{published.fields.get(field.name, field.name)}={_format_value(value)}")
    return " ".join(parts)


class DecisionLog:
    """Writes the events and actions of each iteration of the dispatch loop."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    @classmethod
    def named(cls, name: str) -> DecisionLog:
        """Open the log that the value of `LB_TRACE` names; OSError if the file can't be opened."""
        if name == STANDARD_ERROR_NAME:
            return cls(sys.stderr)
        return cls(open(name, "a", buffering=FILE_BUFFER_BYTES))  # noqa: SIM115

    def settings(self, raw: object) -> None:
        """Write the settings as the configuration contains them; this is the first line of the log."""
        self._out.write(f"settings {msgspec.json.encode(raw).decode()}\n")

    def record(self, now_ms: float, events: Iterable[object], actions: Iterable[object]) -> None:
        """Write the events and actions of one iteration."""
        write = self._out.write
        for event in events:
            if not isinstance(event, OMITTED):
                write(format_line(now_ms, EVENT_MARK, event) + "\n")
        for action in actions:
            if not isinstance(action, OMITTED):
                write(format_line(now_ms, ACTION_MARK, action) + "\n")

    def close(self) -> None:
        """Flush the buffered lines; the file stays open."""
        self._out.flush()
