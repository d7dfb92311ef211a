"""The timers of the membership protocol."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from heapq import heapify, heappop, heappush


class Timer(enum.Enum):
    """What is to be done when a timer expires."""

    PROBE = enum.auto()  # probe the next member of the round
    INDIRECT_PING = enum.auto()  # no ack in time: ask other members to probe
    PROBE_TIMEOUT = enum.auto()  # a probe has failed
    NACK = enum.auto()  # tell the member that asked for an indirect ping that no ack has come so far
    SYNC = enum.auto()  # start exchanges with peers that differ, or with a seed
    RECONNECT = enum.auto()  # try to reach a member that is considered dead
    PUSH = enum.auto()  # push fresh rows
    ANTI_ENTROPY = enum.auto()  # an exchange has something due
    SUSPICION = enum.auto()  # a suspicion may have lasted its time


_WAIT_FOR_ACK = (Timer.INDIRECT_PING, Timer.PROBE_TIMEOUT)


class TimerQueue:
    """Timers in the order of their times; timers of one time expire in the order in which they were set."""

    def __init__(self, sequence: Iterator[int]) -> None:
        """`sequence` orders timers of one time; it is shared with the numbers of probes."""
        self._sequence = sequence
        self._heap: list[tuple[float, int, Timer, int]] = []  # when, order, what, a probe's number

    def set(self, when: float, timer: Timer, probe_number: int = 0) -> None:
        """Set a timer."""
        heappush(self._heap, (when, next(self._sequence), timer, probe_number))

    def next_due_at(self) -> float:
        """Return when the first timer expires."""
        return self._heap[0][0]

    def pop_expired(self, now: float) -> tuple[Timer, int] | None:
        """Remove the first timer that has expired; return it with its probe's number."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, timer, probe_number = heappop(self._heap)
        return timer, probe_number

    def postpone_ack_timeouts(self, until: float) -> None:
        """Let no probe that waits for its ack expire before `until`."""
        self._heap = [
            (max(when, until) if timer in _WAIT_FOR_ACK else when, order, timer, probe_number)
            for when, order, timer, probe_number in self._heap
        ]
        heapify(self._heap)
