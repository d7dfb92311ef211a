"""Finds out that a worker floods its connection with frames that cost work and bring nothing."""

from __future__ import annotations

MAX_FRAMES_PER_S = 256  # resets, PINGs and SETTINGS
_PERIOD_S = 1.0


class ControlFrameCounter:
    """Counts control frames in periods of a second."""

    __slots__ = ("_count", "_period_start")

    def __init__(self) -> None:
        self._count = 0
        self._period_start = 0.0  # loop time

    def is_flooding(self, now: float) -> bool:
        """Count one frame; True if there are too many."""
        if now - self._period_start > _PERIOD_S:
            self._count, self._period_start = 0, now
        self._count += 1
        return self._count > MAX_FRAMES_PER_S
