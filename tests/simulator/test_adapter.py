"""The simulator's adapter: framing, several instances, exit with and without an error."""

import io
import json
import struct
import subprocess
import sys

import pytest

from pipitshed.scheduling import actions, events
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.simulator import adapter, wire

SETTINGS = json.dumps(
    {
        "services": [{"goalTime": 300.0, "deadline": 5000.0, "repeat": "retryable"}],
        "permissions": {"maxAttempts": 4},
    }
).encode()
WORKERS = [bytes([10, 0, 0, n, 64, 31]) for n in range(1, 6)]


def start_instance(instance: int, seed: int) -> bytes:
    entries = b"".join(struct.pack("<HdB6sfBH", 0, 0.0, 0, worker, 1.0, 1, 0) for worker in WORKERS)
    return (
        struct.pack("<BIQI", 3, instance, seed, len(SETTINGS))
        + SETTINGS
        + struct.pack("<BIBQI", 8, instance, 3, 1, len(WORKERS))
        + entries
    )


def submit(instance: int, job: int) -> bytes:
    return struct.pack("<BIQdHfdQBHf", 9, instance, job, 4000.0, 0, 0.0, 0.0, 0, 0, 0, 1.0)


def frame(now: float, *records: bytes, count: int | None = None) -> bytes:
    body = b"".join(records)
    return wire.HEADER.pack(len(records) if count is None else count, len(body), now) + body


def run(data: bytes) -> "subprocess.CompletedProcess[bytes]":
    return subprocess.run(
        [sys.executable, "-m", "pipitshed.simulator.adapter"], input=data, capture_output=True
    )


def test_a_session_over_a_pipe() -> None:
    done = run(frame(0.0) + frame(10.0, start_instance(7, 1), count=2) + frame(20.0, submit(7, 99)))
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout[:8] == wire.encode_reply([])
    assert struct.pack("<BIQ", 65, 7, 99) in done.stdout


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x01\x00", b"inside a frame header"),
        (wire.HEADER.pack(1, 50, 0.0) + b"abc", b"inside a frame"),
        (frame(0.0, b"\x63\x00\x00\x00\x00"), b"unknown event code 99"),
        (frame(0.0, submit(1, 5)), b"instance 1, which is not running"),
        (frame(0.0, struct.pack("<BIQI", 3, 1, 1, 2) + b"{}"), b"services"),
    ],
)
def test_malformed_input_ends_the_adapter_with_a_message(data: bytes, message: bytes) -> None:
    done = run(data)
    assert done.returncode == 2
    assert message in done.stderr and done.stderr.count(b"\n") == 1


def serve(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_instance_acts_the_same_alone_and_beside_others() -> None:
    def actions_of(instance: int, others: list[int]) -> bytes:
        instances = sorted([instance, *others])
        reply = serve(
            frame(0.0, *(start_instance(i, i) for i in instances), count=2 * len(instances)),
            frame(5.0, *(submit(i, 1000 * i + n) for n in range(20) for i in instances)),
        )
        head = struct.pack("<BI", 65, instance)
        return b"".join(reply[at : at + 27] for at in range(len(reply)) if reply.startswith(head, at))

    alone = actions_of(1, [])
    assert len(alone) >= 20 * 27
    assert actions_of(1, [2, 3]) == alone


def test_a_stopped_instance_starts_again_without_state() -> None:
    stop_instance = struct.pack("<BI", 2, 1)
    reply = serve(
        frame(0.0, start_instance(1, 1), count=2),
        frame(5.0, submit(1, 5), stop_instance, start_instance(1, 2), count=4),
    )
    assert struct.pack("<BIQ", 65, 1, 5) not in reply
    with pytest.raises(wire.WireError, match="not running"):
        serve(frame(0.0, start_instance(1, 1), count=2), frame(5.0, stop_instance), frame(6.0, submit(1, 5)))


def test_an_exception_in_the_dispatcher_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: Dispatcher, now: float, events: list[events.Event]) -> list[actions.Action]:
        raise KeyError("lost")

    monkeypatch.setattr(Dispatcher, "handle", fail)
    reply = serve(frame(0.0, start_instance(1, 1), count=2))
    assert struct.pack("<BI", 74, 1) in reply and b"KeyError: 'lost'" in reply
