"""Detects a worker that floods its connection with control frames, which cost CPU time and carry no data."""

from __future__ import annotations

MAX_FRAMES_PER_S = 256  # resets, PINGs and SETTINGS
_PERIOD_S = 1.0


class ControlFrameCounter:
    """Estimates the control frames of the last second from this period's count and the previous one's."""

    __slots__ = ("_count", "_last_count", "_period_start")

    def __init__(self) -> None:
        self._count = 0
        self._last_count = 0
        self._period_start = 0.0  # loop time

    def is_flooding(self, now: float) -> bool:
        """Count one frame; True if the last second's count exceeds MAX_FRAMES_PER_S."""
        if now - self._period_start >= 2 * _PERIOD_S:
            self._last_count, self._count, self._period_start = 0, 0, now
        elif now - self._period_start >= _PERIOD_S:
            self._last_count, self._count = self._count, 0
            self._period_start += _PERIOD_S
        self._count += 1
        remaining_fraction = 1 - (now - self._period_start) / _PERIOD_S
        return self._last_count * remaining_fraction + self._count > MAX_FRAMES_PER_S
