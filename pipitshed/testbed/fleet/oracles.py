"""What a play must have shown, judged from logs alone: the rig's, the processes' events, and accounts."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pipitshed.testbed.clients import ClientRequest

DISRUPTION_MARGIN = 1.0  # s around what was done to a process, within which its clients' requests may be lost


Version = tuple[int, int]  # a row's term and number


@dataclass(frozen=True)
class InForce:
    """A scheduler has said that a row is in force."""

    when: float
    key: str
    version: Version
    acting: dict[str, int]  # who acts on it, and in which life


@dataclass
class Instance:
    """One start of the program."""

    name: str
    place: int
    start: int
    life: int = 0
    spawned: float = 0.0
    ended: float | None = None  # killed, or told to end
    views: list[tuple[float, dict[str, int]]] = field(default_factory=list)  # who lives, by name and life
    deaths: list[tuple[float, str, int]] = field(default_factory=list)  # declared or heard: when, name, life
    displaced: bool = False
    paused: list[tuple[float, float]] = field(default_factory=list)  # it stood still
    disk: bool = True  # it found the folder of the start before
    started: float = 0.0
    acting: list[tuple[float, dict[str, Version]]] = field(default_factory=list)  # rows acted on from then
    refused: list[tuple[float, str, str]] = field(default_factory=list)  # when, key and reason
    in_force: list[InForce] = field(default_factory=list)


@dataclass
class Logs:
    """All that was written during a play."""

    instances: list[Instance]
    faults: list[dict[str, Any]]
    over: float  # when the last fault was over
    end: float  # when the play was
    rig_errors: list[str]  # what the rig itself found wrong
    puts: list[dict[str, Any]] = field(default_factory=list)  # changes of settings, as they were answered


class LogReader:
    """The logs in a play's folder, read on from where the last look ended: looks are many while a play waits
    for agreement, and logs grow.
    """

    def __init__(self, folder: Path) -> None:
        self.logs = Logs([], [], 0.0, 0.0, [])
        self._folder = folder
        self._instances: dict[tuple[int, int], Instance] = {}
        self._events: dict[str, Instance] = {}  # by file
        self._read: dict[str, int] = {}  # bytes, by file

    def read_new(self) -> Logs:
        """All that is there by now."""
        for line in self._lines("rig.jsonl"):
            self._rig(json.loads(line))
        for name, one in self._events.items():
            for line in self._lines(name):
                _event(one, json.loads(line))
        return self.logs

    def _lines(self, name: str) -> list[bytes]:
        """The whole lines since the last look; one that a process was killed over never gets its end."""
        path = self._folder / name
        if not path.exists():
            return []
        with path.open("rb") as log:
            log.seek(self._read.get(name, 0))
            data, _, _ = log.read().rpartition(b"\n")
        if data:
            self._read[name] = self._read.get(name, 0) + len(data) + 1
        return data.splitlines()

    def _rig(self, event_record: dict[str, Any]) -> None:
        event, key = event_record["event"], (event_record.get("place", -1), event_record.get("start", -1))
        logs, instances = self.logs, self._instances
        if event == "spawn":
            one = instances[key] = Instance(
                event_record["process"], *key, spawned=event_record["t"], disk=event_record.get("disk", True)
            )
            logs.instances.append(one)
            self._events[event_record["events"]] = one
        elif event in ("kill", "term", "died"):
            if key in instances and instances[key].ended is None:
                instances[key].ended = event_record["t"]
            if event == "died":
                logs.rig_errors.append(
                    f"{event_record['process']} ended by itself, with {event_record['code']}"
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
    """The logs in a play's folder, up to the play's end."""
    logs = LogReader(folder).read_new()
    if logs.end:
        # Guards the verdict against what comes after the play: all are told to end then, and a fleet of
        # nobody would be in agreement whatever it held before.
        for one in logs.instances:
            one.views = [view for view in one.views if view[0] <= logs.end]
            one.ended = one.ended if one.ended is not None and one.ended <= logs.end else None
    return logs


def _event(one: Instance, event_record: dict[str, Any]) -> None:
    event = event_record["event"]
    if event == "started":
        one.life, one.started = event_record["life"], event_record.get("t", 0.0)
    elif event == "view":
        one.views.append((event_record["t"], {name: life for name, life in event_record["living"]}))
    elif event == "member" and event_record["state"] == "dead":
        one.deaths.append((event_record["t"], event_record["name"], event_record["life"]))
    elif event == "displaced":
        one.displaced = True
    elif event == "acting":
        one.acting.append(
            (event_record["t"], {key: (term, number) for key, term, number in event_record["rows"]})
        )
        one.refused += [(event_record["t"], key, why) for key, why in event_record["refused"]]
    elif event == "in_force":
        one.in_force.append(
            InForce(
                event_record["t"],
                event_record["key"],
                (event_record["term"], event_record["number"]),
                dict(event_record["acting"]),
            )
        )


def live_instances(logs: Logs) -> list[Instance]:
    """Who lives at the end, by the rig's log; of a name that two hold, the later start."""
    last: dict[str, Instance] = {}
    for one in sorted(logs.instances, key=lambda one: one.spawned):
        if one.ended is None:
            last[one.name] = one
    return [last[name] for name in sorted(last)]


def settled(logs: Logs) -> tuple[float | None, list[str]]:
    """How long after the last fault every living process held the truth for good (s), and what is wrong."""
    alive = live_instances(logs)
    truth = {one.name: one.life for one in alive}
    latest = logs.over
    wrong = [] if alive else ["nobody lives"]
    for one in alive:
        if not one.views or one.views[-1][1] != truth:
            held = one.views[-1][1] if one.views else {}
            missing = sorted(name for name in truth if held.get(name) != truth[name])
            strange = sorted(name for name in held if name not in truth)
            wrong.append(f"{one.name} holds another view: lacks {missing}, has {strange}")
        else:
            latest = max(latest, one.views[-1][0])
    return (None if wrong else latest - logs.over), wrong


def false_deaths(logs: Logs) -> int:
    """How often a process that lived, and did not stand still, was held dead by one that lived."""
    by_life = {(one.name, one.life): one for one in logs.instances}
    count = 0
    for one in logs.instances:
        for when, name, life in one.deaths:
            other = by_life.get((name, life))
            if (
                other is not None
                and (other.ended is None or when < other.ended)
                and not any(
                    since <= when <= until + DISRUPTION_MARGIN
                    for since, until in (*other.paused, *one.paused)
                )
            ):
                count += 1
    return count


def check_requests(
    client_requests: list[ClientRequest], targets: dict[str, Instance], wanted_ms: float, all_in_time: bool
) -> tuple[dict[str, Any], list[str]]:
    """The clients' figures, and requests that were lost though nothing was done to their scheduler."""
    wrong = []
    for request in client_requests:
        instance = targets[request.token]
        touched = [instance.spawned] if instance.ended is None else [instance.spawned, instance.ended]
        near = any(
            request.sent - DISRUPTION_MARGIN <= when <= request.ended + DISRUPTION_MARGIN for when in touched
        ) or any(
            since - DISRUPTION_MARGIN <= request.ended and request.sent <= until + DISRUPTION_MARGIN
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
