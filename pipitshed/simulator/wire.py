"""The binary wire: frames to events, actions to frames, the start settings to Settings.

It translates names and checks form; it decides nothing. Malformed input raises WireError.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

import msgspec

from pipitshed.config.errors import SettingsError
from pipitshed.config.settings_parser import settings_from
from pipitshed.scheduling import actions, events
from pipitshed.scheduling.settings import Settings

HEADER = struct.Struct("<IId")
REPLY_HEADER = struct.Struct("<II")
_MAX_DELAY_MS = 71 * 60 * 1000.0

_E = TypeVar("_E", bound=Enum)


class WireError(ValueError):
    """The input does not have the wire's form."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance begins, with its seed and its settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance is dead; all it knew is void."""


WireEvent = InstanceStarted | InstanceStopped | events.Event

# Fixed parts of the records, after the code byte and the instance number.
_HEAD = struct.Struct("<BI")
_TOKEN = struct.Struct("<Q")
_BORN = struct.Struct("<QI")
_MAIL = struct.Struct("<HH")
_NOTE = struct.Struct("<Qf6sBH")
_PROBED = struct.Struct("<6sdBB")
_LIST = struct.Struct("<BQI")
_ENTRY = struct.Struct("<HdB6sfBH")
_SUBMIT = struct.Struct("<QdHfdQBHf")
_FINISHED = struct.Struct("<QH6sBdBBB")
_FIRST = struct.Struct("<QH6sd")

_HINT_VALID, _REPEAT = 1, 2


def _number(value: float, what: str) -> float:
    if not math.isfinite(value):
        raise WireError(f"{what} is not a finite number")
    return value


def _enum(kind: Callable[[int], _E], value: int, what: str) -> _E:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


class _Reader:
    """Cuts one frame's body into fields."""

    __slots__ = ("data", "at")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def fields(self, form: struct.Struct) -> tuple[Any, ...]:
        try:
            got = form.unpack_from(self.data, self.at)
        except struct.error:
            raise WireError("a record ends before its last field") from None
        self.at += form.size
        return got

    def raw(self, count: int) -> bytes:
        if self.at + count > len(self.data):
            raise WireError("a record ends before its last field")
        self.at += count
        return self.data[self.at - count : self.at]

    def report(self, count: int) -> tuple[float, ...]:
        if not count:
            return ()
        values = struct.unpack(f"<{count}f", self.raw(4 * count))
        return tuple(_number(value, "a load report") for value in values)


def _born(read: _Reader) -> InstanceStarted:
    seed, length = read.fields(_BORN)
    return InstanceStarted(seed, settings_from_json(read.raw(length)))


def _mail(read: _Reader) -> events.PeerMessageReceived:
    sender, length = read.fields(_MAIL)
    return events.PeerMessageReceived(sender, read.raw(length))


def _note(read: _Reader) -> events.AttemptProgressed:
    job, done, worker, kind, attempt = read.fields(_NOTE)
    return events.AttemptProgressed(job, attempt, worker, kind, _number(done, "progress"))


def _probed(read: _Reader) -> events.ProbeFinished:
    worker, elapsed, outcome, count = read.fields(_PROBED)
    return events.ProbeFinished(
        worker, _number(elapsed, "elapsed"), _enum(events.Outcome, outcome, "outcome"), read.report(count)
    )


def _list_news(read: _Reader) -> events.EndpointsUpdated:
    kind, version, count = read.fields(_LIST)
    body = read.raw(_ENTRY.size * count)
    entries = []
    for cell, started, machine, worker, weight, state, zone in _ENTRY.iter_unpack(body):
        entries.append(
            events.EndpointEntry(
                worker,
                zone,
                cell,
                machine,
                _number(weight, "units"),
                _number(started, "startedAt"),
                _enum(events.EndpointState, state, "worker state"),
            )
        )
    return events.EndpointsUpdated(_enum(events.UpdateKind, kind, "list mode"), version, tuple(entries))


def _submitted(read: _Reader) -> events.JobSubmitted:
    job, left, job_class, memory, hint, key, bits, tenant, slots = read.fields(_SUBMIT)
    return events.JobSubmitted(
        job,
        _number(left, "patienceLeft"),
        job_class,
        tenant,
        _number(slots, "slots") or 1.0,
        _number(memory, "ramUnits"),
        _number(hint, "workHint") if bits & _HINT_VALID else None,
        key,
        bool(bits & _REPEAT),
    )


def _finished(read: _Reader) -> events.AttemptFinished:
    job, attempt, worker, outcome, elapsed, settled, _note_of_family, count = read.fields(_FINISHED)
    return events.AttemptFinished(
        job,
        attempt,
        worker,
        _enum(events.Outcome, outcome, "outcome"),
        _number(elapsed, "elapsed"),
        bool(settled),
        read.report(count),
    )


def _first_byte(read: _Reader) -> events.ResponseStarted:
    job, attempt, worker, elapsed = read.fields(_FIRST)
    return events.ResponseStarted(job, attempt, worker, _number(elapsed, "elapsed"))


_EVENTS: dict[int, Callable[[_Reader], WireEvent]] = {
    1: lambda read: events.TimerFired(read.fields(_TOKEN)[0]),
    2: lambda read: InstanceStopped(),
    3: _born,
    4: _mail,
    5: _note,
    6: _probed,
    7: lambda read: events.JobWithdrawn(read.fields(_TOKEN)[0]),
    8: _list_news,
    9: _submitted,
    10: _finished,
    11: _first_byte,
}


def decode_batch(count: int, body: bytes) -> list[tuple[int, WireEvent]]:
    """The (instance, event) pairs of one frame, in order."""
    read = _Reader(body)
    events = []
    for _ in range(count):
        code, instance = read.fields(_HEAD)
        decode = _EVENTS.get(code)
        if decode is None:
            raise WireError(f"unknown event code {code}")
        events.append((instance, decode(read)))
    if read.at != len(body):
        raise WireError(f"{len(body) - read.at} bytes left over after the last record")
    return events


# ---- actions

_SEND = struct.Struct("<BIQ6sd")
_REFUSE = struct.Struct("<BIQd")
_FAIL = struct.Struct("<BIQ")
_CANCEL = struct.Struct("<BIQH")
_WORKER = struct.Struct("<BI6s")
_WATCH = struct.Struct("<BIB")
_TELL = struct.Struct("<BIHH")
_TEXT = struct.Struct("<BIH")
_EVERY_PEER = 0xFFFF

_ACTIONS: dict[type, Callable[[int, Any], bytes]] = {
    actions.StartAttempt: lambda i, a: _SEND.pack(65, i, a.job_id, a.worker, a.timeout_ms),
    actions.RejectRequest: lambda i, a: _REFUSE.pack(66, i, a.job_id, a.retry_after_ms),
    actions.FailRequest: lambda i, a: _FAIL.pack(67, i, a.job_id),
    actions.CancelAttempt: lambda i, a: _CANCEL.pack(68, i, a.job_id, a.attempt_index),
    actions.SetTimer: lambda i, a: _REFUSE.pack(69, i, a.token, min(max(a.delay_ms, 0.0), _MAX_DELAY_MS)),
    actions.ProbeWorker: lambda i, a: _WORKER.pack(70, i, a.worker),
    actions.CloseIdleConnections: lambda i, a: _WORKER.pack(71, i, a.worker),
    actions.SendPeerMessage: lambda i, a: (
        _TELL.pack(72, i, _EVERY_PEER if a.recipient is None else a.recipient, len(a.data)) + a.data
    ),
    actions.LogLine: lambda i, a: encode_text(73, i, a.text),
    actions.WatchEndpoints: lambda i, a: _WATCH.pack(75, i, a.enabled),
    actions.FetchEndpoints: lambda i, a: _HEAD.pack(76, i),
}


def encode_text(code: int, instance: int, text: str) -> bytes:
    """A record that carries a line of text, cut to what its length field can say."""
    data = text.encode()[:0xFFFF]
    return _TEXT.pack(code, instance, len(data)) + data


def encode_broken(instance: int, text: str) -> bytes:
    """The record that says the decision code has failed."""
    return encode_text(74, instance, text)


def encode_action(instance: int, action: actions.Action) -> bytes:
    """One action as a record."""
    return _ACTIONS[type(action)](instance, action)


def encode_reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body


# ---- settings


def settings_from_json(data: bytes) -> Settings:
    """The start settings from their text."""
    try:
        return settings_from(msgspec.json.decode(data))
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise WireError(f"settings: not JSON: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None
