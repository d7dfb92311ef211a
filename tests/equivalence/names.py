"""Maps the names in the recordings to the present names of the code.

Commit 9bcbde6 made the recordings; their events and actions have the names of that commit. This module alone
maps them. A change of the name of a class, field or enum member changes its line here.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from pipitshed.config.settings_parser import settings_from
from pipitshed.proxy.request import Request
from pipitshed.scheduling import (
    actions,
    admission,
    attempt_watchdog,
    events,
    outlier_ejection,
    poll_schedule,
    retry_policy,
    worker_selection,
)
from pipitshed.scheduling.dispatcher import Dispatcher

Fields = dict[str, Any]
Item = tuple[str, Fields]  # a recorded class name and its fields by their recorded names


@dataclass(frozen=True)
class RenamedClass:
    """A present class, and its present field names by recorded name."""

    current: type
    fields: dict[str, str]


ENUMS: dict[str, tuple[type[enum.Enum], dict[str, str]]] = {
    "Outcome": (
        events.Outcome,
        {
            "OK": "OK",
            "ERROR": "ERROR",
            "FULL": "REJECTED",
            "TIMEOUT": "TIMEOUT",
            "CONNECT_FAILED": "CONNECT_FAILED",
            "RESET": "RESET",
            "CANCELLED": "CANCELLED",
            "MOOT": "SUPERSEDED",
        },
    ),
    "ListKind": (
        events.UpdateKind,
        {"FULL": "SNAPSHOT", "DELTA": "DELTA", "FAILED": "FETCH_FAILED", "CACHED": "CACHED"},
    ),
    "State": (events.EndpointState, {"GONE": "REMOVED", "READY": "READY", "DRAINING": "DRAINING"}),
    "NoteKind": (events.ProgressKind, {"STARTED": "STARTED", "PROGRESS": "PROGRESS"}),
}

# Fields whose recorded value is the name of an enum member.
ENUM_FIELDS = {
    ("ListNews", "kind"): "ListKind",
    ("Entry", "state"): "State",
    ("Note", "kind"): "NoteKind",
    ("Finished", "outcome"): "Outcome",
}

EVENTS: dict[str, RenamedClass] = {
    "ListNews": RenamedClass(
        events.EndpointsUpdated, {"kind": "kind", "version": "version", "entries": "entries"}
    ),
    "ListMoved": RenamedClass(events.DiscoveryMoved, {}),
    "LinkLost": RenamedClass(events.ConnectionLost, {"worker": "worker"}),
    "Submitted": RenamedClass(
        events.JobSubmitted,
        {
            "job": "job_id",
            "time_left": "remaining_ms",
            "job_class": "job_class",
            "tenant": "tenant",
            "slots": "slots",
            "memory": "memory",
            "work": "work",
            "key": "affinity_key",
            "repeat": "is_retry",
            "fits": "compatible_interfaces",
        },
    ),
    "FirstByte": RenamedClass(
        events.ResponseStarted,
        {"job": "job_id", "attempt": "attempt_index", "worker": "worker", "elapsed": "elapsed_ms"},
    ),
    "Note": RenamedClass(
        events.AttemptProgressed,
        {
            "job": "job_id",
            "attempt": "attempt_index",
            "worker": "worker",
            "kind": "kind",
            "done": "done_fraction",
        },
    ),
    "Finished": RenamedClass(
        events.AttemptFinished,
        {
            "job": "job_id",
            "attempt": "attempt_index",
            "worker": "worker",
            "outcome": "outcome",
            "elapsed": "elapsed_ms",
            "settled": "answered",
            "report": "load_report",
            "pushback": "pushback_ms",
        },
    ),
    "Withdrawn": RenamedClass(events.JobWithdrawn, {"job": "job_id"}),
    "TimerFired": RenamedClass(events.TimerFired, {"token": "token"}),
    "Entry": RenamedClass(
        events.EndpointEntry,
        {
            "worker": "worker",
            "zone": "zone",
            "cell": "cell",
            "kind": "worker_kind",
            "weight": "weight",
            "started_at": "started_at_ms",
            "state": "state",
            "classes": "job_classes",
            "interface": "interface",
            "planned": "planned_weights",
        },
    ),
}

ACTIONS: dict[str, RenamedClass] = {
    "Send": RenamedClass(
        actions.StartAttempt,
        {"job": "job_id", "worker": "worker", "timeout": "timeout_ms", "write_within": "write_within_ms"},
    ),
    "Refuse": RenamedClass(actions.RejectRequest, {"job": "job_id", "retry_after": "retry_after_ms"}),
    "Fail": RenamedClass(actions.FailRequest, {"job": "job_id"}),
    "Cancel": RenamedClass(actions.CancelAttempt, {"job": "job_id", "attempt": "attempt_index"}),
    "SetTimer": RenamedClass(actions.SetTimer, {"token": "token", "delay": "delay_ms"}),
    "WatchList": RenamedClass(actions.WatchEndpoints, {"on": "enabled"}),
}

# Constants of the rules by recorded name: the module, the present name, and a slightly different value.
CONSTANTS: dict[str, tuple[Any, str, float]] = {
    "REFUSE_ABOVE": (admission, "SATURATION_THRESHOLD", 0.85),
    "EJECTION_MS": (outlier_ejection, "EJECTION_MS", 330.0),
    "PAUSE_PART": (retry_policy, "BACKOFF_OBJECTIVE_FRACTION", 0.021),
    "START_PART": (attempt_watchdog, "START_TIMEOUT_OBJECTIVE_FRACTION", 0.11),
    "LEFT_POWER": (worker_selection, "RESERVED_SLOTS_EXPONENT", 24.5),
    "LONGEST_ASK": (poll_schedule, "MAX_POLL_BACKOFF_MS", 2001.0),
    "UNEVEN": (admission, "UNEVEN_TRAFFIC_FACTOR", 1.3),
    "STALLED": (attempt_watchdog, "STALLED_PROGRESS_INTERVALS", 1.8),
}
_ACTION_NAMES = {renamed.current: name for name, renamed in ACTIONS.items()}


class TranslatedDispatcher:
    """The present dispatcher behind the recorded names of settings, events and actions."""

    def __init__(self, settings: Fields, seed: int, on_sockets: bool = False) -> None:
        self._on_sockets = on_sockets
        self._dispatcher = Dispatcher(self._settings(settings), seed)

    def _settings(self, settings: Fields) -> Any:
        parsed = settings_from(settings)
        if not self._on_sockets:
            return parsed
        from pipitshed.config.platform import settings_for_sockets

        return settings_for_sockets(parsed)

    def apply_settings(self, settings: Fields) -> None:
        """Apply new settings to the running dispatcher."""
        self._dispatcher.apply_settings(self._settings(settings))

    def handle(self, now: float, items: list[Item]) -> list[Item]:
        """Handle the events of one turn; returns the actions by their recorded names."""
        return [
            recorded_item(action)
            for action in self._dispatcher.handle(now, [event_from_recording(*item) for item in items])
        ]


def event_from_recording(name: str, fields: Fields) -> Any:
    """The present event for a recorded one."""
    renamed = EVENTS[name]
    return renamed.current(
        **{renamed.fields[field]: _value(name, field, value) for field, value in fields.items()}
    )


def _value(name: str, field: str, value: Any) -> Any:
    kind = ENUM_FIELDS.get((name, field))
    if kind is not None:
        current, members = ENUMS[kind]
        return current[members[value]]
    if field == "entries":
        return tuple(event_from_recording("Entry", entry) for entry in value)
    if field in ("classes", "fits") and value is not None:
        return frozenset(value)
    if field == "worker" and isinstance(value, str):
        return value.encode("latin-1")
    if field in ("report", "planned") and value is not None:
        return tuple(value)
    return value


def recorded_item(action: Any) -> Item:
    """The recorded form of an action, without the fields that are not recorded."""
    name = _ACTION_NAMES[type(action)]
    return name, {field: getattr(action, current) for field, current in ACTIONS[name].fields.items()}


def items_as_text(items: list[Item]) -> str:
    """Events or actions as text, one per line, for comparison."""
    return "\n".join(
        f"{name}({', '.join(f'{field}={value!r}' for field, value in fields.items())})"
        for name, fields in items
    )


REQUEST_FIELDS = {
    "id": "id",
    "job_class": "job_class",
    "patience": "client_timeout_ms",
    "tenant": "tenant",
    "body": "body",
    "form": "form_version",
}


def request_from_recording(fields: Fields) -> Request:
    """The present request for a recorded one."""
    return Request(
        **{
            REQUEST_FIELDS[name]: value.encode() if name == "body" else value
            for name, value in fields.items()
        }
    )
