"""Checks of a scenario run, made from logs alone: the rig's log, the processes' event logs and the requests.

The rig is the code that starts the processes and injects the faults.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pipitshed.testbed.clients import ClientRequest

DISRUPTION_MARGIN_S = 1.0  # s around a fault of a process in which its requests may be lost


Version = tuple[int, int]  # a row's term and number


@dataclass(frozen=True)
class InForce:
    """A scheduler's statement that a row is in force."""

    when: float
    key: str
    version: Version
    acting: dict[str, int]  # names of the schedulers that act on it, with their instance ids


@dataclass
class Instance:
    """One start of a scheduler process. Times are seconds of the monotonic clock."""

    name: str
    place: int
    start: int  # number of the start, from 1
    life: int = 0  # its instance id, drawn at the start
    spawned: float = 0.0
    ended: float | None = None  # SIGKILL or SIGTERM was sent, or it ended by itself
    views: list[tuple[float, dict[str, int]]] = field(default_factory=list)  # time, live ids by name
    deaths: list[tuple[float, str, int]] = field(default_factory=list)  # seen as dead: time, name, id
    displaced: bool = False
    paused: list[tuple[float, float]] = field(default_factory=list)  # start and end
    disk: bool = True  # whether it kept the folder of the previous start
    started: float = 0.0
    acting: list[tuple[float, dict[str, Version]]] = field(default_factory=list)  # time, rows acted on since
    refused: list[tuple[float, str, str]] = field(default_factory=list)  # time, key and reason
    in_force: list[InForce] = field(default_factory=list)


@dataclass
class Logs:
    """The content of all logs of a scenario run."""

    instances: list[Instance]
    faults: list[dict[str, Any]]
    over: float  # end of the last fault
    end: float  # end of the run
    rig_errors: list[str]  # errors found by the rig itself
    puts: list[dict[str, Any]] = field(default_factory=list)  # setting changes with their outcomes


class LogReader:
    """Reads the logs in a run's folder; each read continues where the last one ended, as a run that waits for
    agreement reads them often.
    """

    def __init__(self, folder: Path) -> None:
        self.logs = Logs([], [], 0.0, 0.0, [])
        self._folder = folder
        self._instances: dict[tuple[int, int], Instance] = {}
        self._events: dict[str, Instance] = {}  # by file
        self._read: dict[str, int] = {}  # bytes, by file

    def read_new(self) -> Logs:
        """Read what was added, and return all logs so far."""
        for line in self._lines("rig.jsonl"):
            self._apply_rig_event(json.loads(line))
        for name, instance in self._events.items():
            for line in self._lines(name):
                _apply_process_event(instance, json.loads(line))
        return self.logs

    def _lines(self, name: str) -> list[bytes]:
        """The complete lines added since the last read; a killed process may leave an incomplete one."""
        path = self._folder / name
        if not path.exists():
            return []
        with path.open("rb") as log:
            log.seek(self._read.get(name, 0))
            data, _, _ = log.read().rpartition(b"\n")
        if data:
            self._read[name] = self._read.get(name, 0) + len(data) + 1
        return data.splitlines()

    def _apply_rig_event(self, event_record: dict[str, Any]) -> None:
        event, key = event_record["event"], (event_record.get("place", -1), event_record.get("start", -1))
        logs, instances = self.logs, self._instances
        if event == "spawn":
            instance = instances[key] = Instance(
                event_record["process"], *key, spawned=event_record["t"], disk=event_record.get("disk", True)
            )
            logs.instances.append(instance)
            self._events[event_record["events"]] = instance
        elif event in ("kill", "term", "died"):
            if key in instances and instances[key].ended is None:
                instances[key].ended = event_record["t"]
            if event == "died":
                logs.rig_errors.append(
                    f"{event_record['process']} ended by itself with exit code {event_record['code']}"
                )
        elif event == "pause":
            instances[key].paused.append((event_record["t"], float("inf")))
        elif event == "wake" and instances[key].paused:
            instances[key].paused[-1] = (instances[key].paused[-1][0], event_record["t"])
        elif event == "fault":
            logs.faults.append(event_record)
        elif event == "wrong":
            logs.rig_errors.append(event_record["text"])
        elif event == "over":
            logs.over = event_record["t"]
        elif event == "end":
            logs.end = event_record["t"]
        elif event == "put":
            logs.puts.append(event_record)


def read(folder: Path) -> Logs:
    """Read the logs in a run's folder, up to the end of the run."""
    logs = LogReader(folder).read_new()
    if logs.end:
        # All processes are stopped after the run. Without this cut they would count as ended, and an empty
        # fleet would always agree.
        for instance in logs.instances:
            instance.views = [view for view in instance.views if view[0] <= logs.end]
            instance.ended = (
                instance.ended if instance.ended is not None and instance.ended <= logs.end else None
            )
    return logs


def _apply_process_event(instance: Instance, event_record: dict[str, Any]) -> None:
    event = event_record["event"]
    if event == "started":
        instance.life, instance.started = event_record["life"], event_record.get("t", 0.0)
    elif event == "view":
        instance.views.append((event_record["t"], {name: life for name, life in event_record["living"]}))
    elif event == "member" and event_record["state"] == "dead":
        instance.deaths.append((event_record["t"], event_record["name"], event_record["life"]))
    elif event == "displaced":
        instance.displaced = True
    elif event == "acting":
        instance.acting.append(
            (event_record["t"], {key: (term, number) for key, term, number in event_record["rows"]})
        )
        instance.refused += [(event_record["t"], key, why) for key, why in event_record["refused"]]
    elif event == "in_force":
        instance.in_force.append(
            InForce(
                event_record["t"],
                event_record["key"],
                (event_record["term"], event_record["number"]),
                dict(event_record["acting"]),
            )
        )


def live_instances(logs: Logs) -> list[Instance]:
    """The processes that run at the end by the rig's log; the later start where two have one name."""
    last: dict[str, Instance] = {}
    for instance in sorted(logs.instances, key=lambda instance: instance.spawned):
        if instance.ended is None:
            last[instance.name] = instance
    return [last[name] for name in sorted(last)]


def settled(logs: Logs) -> tuple[float | None, list[str]]:
    """Return the seconds from the last fault until all views were correct for good, and what is wrong."""
    alive = live_instances(logs)
    expected = {instance.name: instance.life for instance in alive}
    latest = logs.over
    wrong = [] if alive else ["no process runs"]
    for instance in alive:
        if not instance.views or instance.views[-1][1] != expected:
            view = instance.views[-1][1] if instance.views else {}
            missing = sorted(name for name in expected if view.get(name) != expected[name])
            unexpected = sorted(name for name in view if name not in expected)
            wrong.append(f"{instance.name} holds another view: lacks {missing}, has {unexpected}")
        else:
            latest = max(latest, instance.views[-1][0])
    return (None if wrong else latest - logs.over), wrong


def false_deaths(logs: Logs) -> int:
    """Count how often a process declared another one dead that ran, without a recent pause of either."""
    by_life = {(instance.name, instance.life): instance for instance in logs.instances}
    count = 0
    for instance in logs.instances:
        for when, name, life in instance.deaths:
            other = by_life.get((name, life))
            if (
                other is not None
                and (other.ended is None or when < other.ended)
                and not any(
                    since <= when <= until + DISRUPTION_MARGIN_S
                    for since, until in (*other.paused, *instance.paused)
                )
            ):
                count += 1
    return count


def check_requests(
    client_requests: list[ClientRequest], targets: dict[str, Instance], wanted_ms: float, all_in_time: bool
) -> tuple[dict[str, Any], list[str]]:
    """Return the clients' figures, and the requests lost although their scheduler had no fault."""
    wrong = []
    for request in client_requests:
        instance = targets[request.token]
        touched = [instance.spawned] if instance.ended is None else [instance.spawned, instance.ended]
        near = any(
            request.sent - DISRUPTION_MARGIN_S <= when <= request.ended + DISRUPTION_MARGIN_S
            for when in touched
        ) or any(
            since - DISRUPTION_MARGIN_S <= request.ended and request.sent <= until + DISRUPTION_MARGIN_S
            for since, until in instance.paused
        )
        if request.outcome == "unanswered" and not near:
            wrong.append(f"request {request.token} at {instance.name} was not answered: {request.detail}")
    in_time = sum(
        request.outcome == "served" and (request.ended - request.sent) * 1000 <= wanted_ms
        for request in client_requests
    )
    figures = {
        "requests": len(client_requests),
        "in_time": round(in_time / max(1, len(client_requests)), 4),
        "unanswered": sum(request.outcome == "unanswered" for request in client_requests),
    }
    if all_in_time and in_time < len(client_requests):
        late = [
            f"{request.token} {request.outcome} {request.detail}"
            for request in client_requests
            if request.outcome != "served"
        ]
        wrong.append(f"{len(client_requests) - in_time} requests were not served in time: {late[:3]}")
    return figures, wrong
