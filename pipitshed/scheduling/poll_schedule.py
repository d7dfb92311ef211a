"""The poll schedule: when discovery is called again for the endpoint list."""

from __future__ import annotations

import math
import random

from pipitshed.scheduling.events import UpdateKind
from pipitshed.scheduling.settings import Settings

FIRST_POLL_DEADLINE_FRACTION = 0.05  # first delay as a fraction of the time by which the list must be polled
MAX_POLL_BACKOFF_MS = 2000.0  # leaves time for two more calls before an update counts as late
MAX_BACKOFF_DOUBLINGS = 4
PUSHED_DRAIN_GRACE_FRACTION = 0.25  # longest delay for a pushed list, as a fraction of the drain grace period
MIN_POLL_DELAY_MS = 20.0  # between a failed call and the next
MOVED_DEADLINE_FRACTION = 0.01  # random delay of the first call after discovery has moved


class PollSchedule:
    """The time of the next call to discovery, and the number of consecutive failed calls."""

    __slots__ = ("failure_count", "due_at_ms", "polled_at_ms")

    def __init__(self) -> None:
        self.failure_count = 0
        self.due_at_ms = math.inf
        self.polled_at_ms = -math.inf

    def delay_after_update(
        self, kind: UpdateKind, settings: Settings, now_ms: float, rng: random.Random
    ) -> float | None:
        """The delay in ms until the next call after an update; None where no call is to be made."""
        if kind is UpdateKind.FETCH_FAILED:
            self.failure_count += 1
        if settings.endpoints_polled and kind in (UpdateKind.FETCH_FAILED, UpdateKind.CACHED):
            return self._backoff_ms(kind, settings, now_ms, rng)
        if kind is not UpdateKind.FETCH_FAILED:
            self.failure_count = 0
        return None

    def delay_after_move(self, settings: Settings, rng: random.Random) -> float | None:
        """The delay until the first call at discovery's new address; None where the list is not polled.

        The back-off from failures at the old address is reset. The short delay is random, because all
        schedulers may be notified at the same time.
        """
        self.failure_count = 0
        if not settings.endpoints_polled:
            return None
        return MOVED_DEADLINE_FRACTION * settings.guarantees.poll_deadline_ms * rng.random()

    def schedule(self, at_ms: float) -> None:
        """Schedule a call at this time, unless an earlier one is scheduled."""
        self.due_at_ms = min(self.due_at_ms, at_ms)

    def start_due_call(self, now_ms: float) -> bool:
        """Whether a call is due now; a due call is recorded as made."""
        if now_ms < self.due_at_ms:
            return False
        self.due_at_ms = math.inf
        self.polled_at_ms = now_ms
        return True

    def _backoff_ms(self, kind: UpdateKind, settings: Settings, now_ms: float, rng: random.Random) -> float:
        """The delay until the next call, in ms.

        Discovery serves all schedulers from one queue and rejects calls while it is full, so failed calls
        back off. The delay counts from the start of the call, so that a slow failure adds no further wait.
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
