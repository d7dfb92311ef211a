"""Timers of the membership protocol, in one queue without I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from heapq import heapify, heappop, heappush


class Timer(enum.Enum):
    """The action that is due when a timer expires."""

    PROBE = enum.auto()  # probe the next member of the round
    INDIRECT_PING = enum.auto()  # no ack in time: ask helpers for indirect pings
    PROBE_TIMEOUT = enum.auto()  # no ack, direct or indirect: suspect the target
    NACK = enum.auto()  # no ack to an indirect ping so far: notify the member that requested it
    SYNC = enum.auto()  # start exchanges with peers whose digests differ, or with a seed
    RECONNECT = enum.auto()  # start an exchange with a dead member
    PUSH = enum.auto()  # push fresh rows
    ANTI_ENTROPY = enum.auto()  # an exchange has a retry or a postponed message due
    SUSPICION = enum.auto()  # a suspicion may have timed out


_WAIT_FOR_ACK = (Timer.INDIRECT_PING, Timer.PROBE_TIMEOUT)


class TimerQueue:
    """Timers ordered by time; timers with equal times expire in the order in which they were set."""

    def __init__(self, sequence: Iterator[int]) -> None:
        """Create an empty queue; `sequence` orders timers with equal times, and also numbers the probes."""
        self._sequence = sequence
        self._heap: list[tuple[float, int, Timer, int]] = []  # (time, order, timer, probe number)

    def set(self, when: float, timer: Timer, probe_number: int = 0) -> None:
        """Add a timer that expires at `when`; `probe_number` is passed on to its handler."""
        heappush(self._heap, (when, next(self._sequence), timer, probe_number))

    def next_due_at(self) -> float:
        """Return the time at which the next timer expires."""
        return self._heap[0][0]

    def pop_expired(self, now: float) -> tuple[Timer, int] | None:
        """Remove and return the first expired timer and its probe number; None if none has expired."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, timer, probe_number = heappop(self._heap)
        return timer, probe_number

    def postpone_ack_timeouts(self, until: float) -> None:
        """Postpone to `until` or later the timeouts of probes that still wait for an ack."""
        self._heap = [
            (max(when, until) if timer in _WAIT_FOR_ACK else when, order, timer, probe_number)
            for when, order, timer, probe_number in self._heap
        ]
        heapify(self._heap)
