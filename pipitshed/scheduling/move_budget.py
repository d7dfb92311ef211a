"""The move budget: how many attempts that have not started may be taken to another worker.

A worker may run a job that was cancelled while it waited. Each move then adds a job to the workers' load, and
moves without a limit feed themselves: the longer the queues, the more jobs are moved.
"""

from __future__ import annotations

from pipitshed.scheduling.recent_counts import AttemptWindow

FREE_MOVES_PROBABILITY = 0.3  # no-capacity probability up to which moves need no budget: queues are short
MOVES_PER_START = 0.1  # saved up with each attempt that starts
MAX_SAVED_MOVES = 3.0  # so that a scheduler with little traffic leaves a worker that hangs


class MoveBudget:
    """A token bucket that attempts fill as they start, and moves empty.

    It binds only where many attempts of the window have not started in time.
    """

    __slots__ = ("_saved", "_window")

    def __init__(self, window: AttemptWindow) -> None:
        self._window = window
        self._saved = MAX_SAVED_MOVES

    def record_start(self) -> None:
        """Record that an attempt has started."""
        self._saved = min(MAX_SAVED_MOVES, self._saved + MOVES_PER_START)

    def try_take(self, now_ms: float) -> bool:
        """Take one move; False if none is left and many attempts start late."""
        if self._saved < 1.0:
            late_share = self._window.no_capacity_probability(now_ms) or 0.0
            return late_share <= FREE_MOVES_PROBABILITY
        self._saved -= 1.0
        return True
