"""Probes by PING: each ends once, by its ACK, its timeout or the end of its connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pipitshed.scheduling.events import Outcome
from pipitshed.upstream.grpc.ping_probes import PROBE_TIMEOUT_S, PingProbes


class FakeLoop:
    """A clock that the test moves, and the timers set by it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, Callable[..., None], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        self.timers.append((self.now + delay, callback, arguments))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, callback, arguments in due:
            callback(*arguments)


def test_each_probe_ends_once() -> None:
    loop, sent, ended = FakeLoop(), list[bytes](), list[tuple[Outcome, float]]()
    probes = PingProbes(
        loop,  # type: ignore[arg-type]
        sent.append,
        lambda outcome, duration_ms: ended.append((outcome, duration_ms)),
    )
    probes.start(1, is_ready=False)
    assert not sent and probes.are_pending
    probes.send_all()
    probes.start(2, is_ready=True)
    assert sent == [b"00000001", b"00000002"]
    loop.advance(PROBE_TIMEOUT_S / 2)
    assert probes.acknowledged(b"00000001") and not probes.acknowledged(b"00000001")
    assert not probes.acknowledged(b"pipitshe")
    loop.advance(PROBE_TIMEOUT_S / 2)
    probes.start(3, is_ready=True)
    probes.fail_all()
    loop.advance(PROBE_TIMEOUT_S)
    assert not probes.are_pending
    assert ended == [
        (Outcome.OK, PROBE_TIMEOUT_S / 2 * 1000),
        (Outcome.TIMEOUT, PROBE_TIMEOUT_S * 1000),
        (Outcome.CONNECT_FAILED, 0.0),
    ]
