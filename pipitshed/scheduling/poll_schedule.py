"""The poll schedule: when discovery is asked for the endpoint list again."""

from __future__ import annotations

import math
import random

from pipitshed.scheduling.events import UpdateKind
from pipitshed.scheduling.settings import Settings

FIRST_POLL_DEADLINE_FRACTION = 0.05  # first wait, as a part of the time within which the list must be asked
MAX_POLL_BACKOFF_MS = 2000.0  # leaves time for two more calls before an update counts as late
MAX_BACKOFF_DOUBLINGS = 4
PUSHED_DRAIN_GRACE_FRACTION = 0.25  # longest wait for a list that is pushed, as a part of the drain grace
MIN_POLL_DELAY_MS = 20.0  # from a failed call to the next
MOVED_DEADLINE_FRACTION = 0.01  # spread of the first call after discovery has moved


class PollSchedule:
    """When the next call to discovery is due, and how many have failed in a row."""

    __slots__ = ("failure_count", "due_at_ms", "polled_at_ms")

    def __init__(self) -> None:
        self.failure_count = 0
        self.due_at_ms = math.inf
        self.polled_at_ms = -math.inf

    def delay_after_update(
        self, kind: UpdateKind, settings: Settings, now_ms: float, rng: random.Random
    ) -> float | None:
        """How long to wait for the next call after an update; None where none is to be made."""
        if kind is UpdateKind.FETCH_FAILED:
            self.failure_count += 1
        if settings.endpoints_polled and kind in (UpdateKind.FETCH_FAILED, UpdateKind.CACHED):
            return self._backoff_ms(kind, settings, now_ms, rng)
        if kind is not UpdateKind.FETCH_FAILED:
            self.failure_count = 0
        return None

    def delay_after_move(self, settings: Settings, rng: random.Random) -> float | None:
        """How long to wait for the first call at discovery's new address.

        The back-off from failures at the old address is void. The short wait is spread, as all schedulers may
        be notified at once.
        """
        self.failure_count = 0
        if not settings.endpoints_polled:
            return None
        return MOVED_DEADLINE_FRACTION * settings.guarantees.poll_deadline_ms * rng.random()

    def schedule(self, at_ms: float) -> None:
        """Have a call made at this time, unless one is due sooner."""
        self.due_at_ms = min(self.due_at_ms, at_ms)

    def start_due_call(self, now_ms: float) -> bool:
        """Whether a call is due now; it counts as made then."""
        if now_ms < self.due_at_ms:
            return False
        self.due_at_ms = math.inf
        self.polled_at_ms = now_ms
        return True

    def _backoff_ms(self, kind: UpdateKind, settings: Settings, now_ms: float, rng: random.Random) -> float:
        """The wait before the next call.

        Discovery serves all schedulers in turn and rejects calls while its queue is full, so failed calls
        back off. The wait counts from the call, as one that took long to fail has waited already.
        """
        if settings.endpoints_pushed:
            longest = max(
                2 * MIN_POLL_DELAY_MS, PUSHED_DRAIN_GRACE_FRACTION * settings.guarantees.drain_grace_ms
            )
            return 0.0 if kind is UpdateKind.CACHED else longest * rng.uniform(0.5, 1.0)
        doublings = max(0, self.failure_count - 1)
        first = settings.guarantees.poll_deadline_ms * FIRST_POLL_DEADLINE_FRACTION
        longest = min(MAX_POLL_BACKOFF_MS, first * 2.0 ** min(doublings, MAX_BACKOFF_DOUBLINGS))
        if not doublings:
            return longest * rng.uniform(0.1, 1.0)
        return max(MIN_POLL_DELAY_MS, longest * rng.uniform(0.5, 1.0) - (now_ms - self.polled_at_ms))
