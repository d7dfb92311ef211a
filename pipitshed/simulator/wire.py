"""Codec of the simulator's binary protocol: decodes frames into events, encodes actions into frames.

It also parses the settings of a new instance. Malformed input raises WireError.
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
    """The input does not follow the simulator's protocol."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """The simulator starts a dispatcher instance with a random seed and settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """The simulator stops a dispatcher instance, whose state is discarded."""


WireEvent = InstanceStarted | InstanceStopped | events.Event

# Fixed parts of the event records, after the record header: code byte and instance number.
_RECORD_HEADER = struct.Struct("<BI")
_TOKEN = struct.Struct("<Q")
_INSTANCE_STARTED = struct.Struct("<QI")
_PEER_MESSAGE = struct.Struct("<HH")
_ATTEMPT_PROGRESSED = struct.Struct("<Qf6sBH")
_PROBE_FINISHED = struct.Struct("<6sdBB")
_ENDPOINTS_UPDATED = struct.Struct("<BQI")
_ENDPOINT_ENTRY = struct.Struct("<HdB6sfBH")
_JOB_SUBMITTED = struct.Struct("<QdHfdQBHf")
_ATTEMPT_FINISHED = struct.Struct("<QH6sBdBBB")
_RESPONSE_STARTED = struct.Struct("<QH6sd")

_HINT_VALID, _IS_RETRY = 1, 2


def _number(value: float, field: str) -> float:
    if not math.isfinite(value):
        raise WireError(f"{field} is not a finite number")
    return value


def _enum(enum_type: Callable[[int], _E], value: int, field: str) -> _E:
    try:
        return enum_type(value)
    except ValueError:
        raise WireError(f"unknown {field} {value}") from None


class _Reader:
    """Reads the fields of one frame's body in order."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def fields(self, record_format: struct.Struct) -> tuple[Any, ...]:
        try:
            values = record_format.unpack_from(self.data, self.offset)
        except struct.error:
            raise WireError("a record ends before its last field") from None
        self.offset += record_format.size
        return values

    def raw(self, count: int) -> bytes:
        if self.offset + count > len(self.data):
            raise WireError("a record ends before its last field")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def report(self, count: int) -> tuple[float, ...]:
        if not count:
            return ()
        values = struct.unpack(f"<{count}f", self.raw(4 * count))
        return tuple(_number(value, "a load report") for value in values)


def _instance_started(reader: _Reader) -> InstanceStarted:
    seed, length = reader.fields(_INSTANCE_STARTED)
    return InstanceStarted(seed, settings_from_json(reader.raw(length)))


def _peer_message(reader: _Reader) -> events.PeerMessageReceived:
    sender, length = reader.fields(_PEER_MESSAGE)
    return events.PeerMessageReceived(sender, reader.raw(length))


def _attempt_progressed(reader: _Reader) -> events.AttemptProgressed:
    job_id, done_fraction, worker, progress_kind, attempt_index = reader.fields(_ATTEMPT_PROGRESSED)
    return events.AttemptProgressed(
        job_id, attempt_index, worker, progress_kind, _number(done_fraction, "progress")
    )


def _probe_finished(reader: _Reader) -> events.ProbeFinished:
    worker, elapsed_ms, outcome, count = reader.fields(_PROBE_FINISHED)
    return events.ProbeFinished(
        worker,
        _number(elapsed_ms, "elapsed"),
        _enum(events.Outcome, outcome, "outcome"),
        reader.report(count),
    )


def _endpoints_updated(reader: _Reader) -> events.EndpointsUpdated:
    update_kind, version, count = reader.fields(_ENDPOINTS_UPDATED)
    body = reader.raw(_ENDPOINT_ENTRY.size * count)
    entries = []
    for cell, started_at_ms, worker_kind, worker, weight, state, zone in _ENDPOINT_ENTRY.iter_unpack(body):
        entries.append(
            events.EndpointEntry(
                worker,
                zone,
                cell,
                worker_kind,
                _number(weight, "units"),
                _number(started_at_ms, "startedAt"),
                _enum(events.EndpointState, state, "worker state"),
            )
        )
    return events.EndpointsUpdated(
        _enum(events.UpdateKind, update_kind, "list mode"), version, tuple(entries)
    )


def _job_submitted(reader: _Reader) -> events.JobSubmitted:
    job_id, remaining_ms, job_class, memory, work_hint, key, flags, tenant, slots = reader.fields(
        _JOB_SUBMITTED
    )
    return events.JobSubmitted(
        job_id,
        _number(remaining_ms, "patienceLeft"),
        job_class,
        tenant,
        _number(slots, "slots") or 1.0,
        _number(memory, "ramUnits"),
        _number(work_hint, "workHint") if flags & _HINT_VALID else None,
        key,
        bool(flags & _IS_RETRY),
    )


def _attempt_finished(reader: _Reader) -> events.AttemptFinished:
    job_id, attempt_index, worker, outcome, elapsed_ms, answered, _unused, count = reader.fields(
        _ATTEMPT_FINISHED
    )
    return events.AttemptFinished(
        job_id,
        attempt_index,
        worker,
        _enum(events.Outcome, outcome, "outcome"),
        _number(elapsed_ms, "elapsed"),
        bool(answered),
        reader.report(count),
    )


def _response_started(reader: _Reader) -> events.ResponseStarted:
    job_id, attempt_index, worker, elapsed_ms = reader.fields(_RESPONSE_STARTED)
    return events.ResponseStarted(job_id, attempt_index, worker, _number(elapsed_ms, "elapsed"))


_EVENTS: dict[int, Callable[[_Reader], WireEvent]] = {
    1: lambda reader: events.TimerFired(reader.fields(_TOKEN)[0]),
    2: lambda reader: InstanceStopped(),
    3: _instance_started,
    4: _peer_message,
    5: _attempt_progressed,
    6: _probe_finished,
    7: lambda reader: events.JobWithdrawn(reader.fields(_TOKEN)[0]),
    8: _endpoints_updated,
    9: _job_submitted,
    10: _attempt_finished,
    11: _response_started,
}


def decode_batch(count: int, body: bytes) -> list[tuple[int, WireEvent]]:
    """The (instance, event) pairs of a frame with `count` records; raises WireError where it is malformed."""
    reader = _Reader(body)
    events = []
    for _ in range(count):
        code, instance = reader.fields(_RECORD_HEADER)
        decode = _EVENTS.get(code)
        if decode is None:
            raise WireError(f"unknown event code {code}")
        events.append((instance, decode(reader)))
    if reader.offset != len(body):
        raise WireError(f"{len(body) - reader.offset} bytes left over after the last record")
    return events


# ---- actions

_START_ATTEMPT = struct.Struct("<BIQ6sd")
_ID_AND_DELAY = struct.Struct("<BIQd")
_FAIL_REQUEST = struct.Struct("<BIQ")
_CANCEL_ATTEMPT = struct.Struct("<BIQH")
_WORKER_ID = struct.Struct("<BI6s")
_WATCH_ENDPOINTS = struct.Struct("<BIB")
_SEND_PEER_MESSAGE = struct.Struct("<BIHH")
_TEXT = struct.Struct("<BIH")
_ALL_PEERS = 0xFFFF

_ACTIONS: dict[type, Callable[[int, Any], bytes]] = {
    actions.StartAttempt: lambda i, a: _START_ATTEMPT.pack(65, i, a.job_id, a.worker, a.timeout_ms),
    actions.RejectRequest: lambda i, a: _ID_AND_DELAY.pack(66, i, a.job_id, a.retry_after_ms),
    actions.FailRequest: lambda i, a: _FAIL_REQUEST.pack(67, i, a.job_id),
    actions.CancelAttempt: lambda i, a: _CANCEL_ATTEMPT.pack(68, i, a.job_id, a.attempt_index),
    actions.SetTimer: lambda i, a: _ID_AND_DELAY.pack(
        69, i, a.token, min(max(a.delay_ms, 0.0), _MAX_DELAY_MS)
    ),
    actions.ProbeWorker: lambda i, a: _WORKER_ID.pack(70, i, a.worker),
    actions.CloseIdleConnections: lambda i, a: _WORKER_ID.pack(71, i, a.worker),
    actions.SendPeerMessage: lambda i, a: (
        _SEND_PEER_MESSAGE.pack(72, i, _ALL_PEERS if a.recipient is None else a.recipient, len(a.data))
        + a.data
    ),
    actions.LogLine: lambda i, a: encode_text(73, i, a.text),
    actions.WatchEndpoints: lambda i, a: _WATCH_ENDPOINTS.pack(75, i, a.enabled),
    actions.FetchEndpoints: lambda i, a: _RECORD_HEADER.pack(76, i),
}


def encode_text(code: int, instance: int, text: str) -> bytes:
    """A record with a line of text, truncated to the 65535 bytes that its length field can hold."""
    data = text.encode()[:0xFFFF]
    return _TEXT.pack(code, instance, len(data)) + data


def encode_exception(instance: int, text: str) -> bytes:
    """The record (code 74) that reports an exception in the dispatcher."""
    return encode_text(74, instance, text)


def encode_action(instance: int, action: actions.Action) -> bytes:
    """The record of an action of this instance."""
    return _ACTIONS[type(action)](instance, action)


def encode_reply(records: list[bytes]) -> bytes:
    """The reply frame to one batch: a header with body length and record count, then the records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body


# ---- settings


def settings_from_json(data: bytes) -> Settings:
    """Parse the JSON settings of a new instance; raises WireError where they are invalid."""
    try:
        return settings_from(msgspec.json.decode(data))
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise WireError(f"the settings are not JSON: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None
