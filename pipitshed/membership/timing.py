"""Time scales, and how they stretch: local health and suspicion, as Lifeguard has them."""

from __future__ import annotations

import math

import msgspec


class ProtocolTimings(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """Time scales of the view, in seconds; all schedulers of a fleet should have the same."""

    period: float = 0.2  # between probes
    ack_within: float = 0.1  # for the answer to a probe, before others are asked to probe
    helpers: int = 3  # asked to probe in one's place
    suspect_for: float = 4.0  # periods, times log10 of the fleet: the shortest that a suspicion lasts
    suspect_longest: float = 4.0  # times that, with no confirmation
    sync: float = 3.0  # between looks for one that told another digest, to repair with
    sync_with_gone: float = 10.0  # between attempts to reach one that is held dead
    tombstones: float = 120.0  # a member that is gone is held so long

    def fault(self) -> tuple[str, str] | None:
        """The first field that can't be, and why."""
        for name in (
            "period",
            "ack_within",
            "suspect_for",
            "suspect_longest",
            "sync",
            "sync_with_gone",
            "tombstones",
        ):
            value = getattr(self, name)
            if not 0 < value < 86_400:
                return name.replace("_", "-"), f"{value} is not between 0 and 86400"
        if self.ack_within >= self.period:
            return "ack-within", f"{self.ack_within} leaves others no time in a period of {self.period}"
        if not 0 <= self.helpers <= 16:
            return "helpers", f"{self.helpers} is not between 0 and 16"
        if self.suspect_longest < 1:
            return "suspect-longest", f"{self.suspect_longest} is under 1"
        if self.tombstones < 4 * self.sync_with_gone:
            return "tombstones", f"{self.tombstones} is under four times sync-with-gone: old words return"
        return None


MAX_HEALTH_SCORE = 8  # how far a scheduler may doubt itself


class LocalHealth:
    """How far this scheduler doubts itself before others: 0 is well. It stretches probes' times by 1 + score,
    so that one whose loop is slow suspects nobody for its own lateness.
    """

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_failure(self, by: int = 1) -> None:
        """A probe went unanswered, help that is owed did not come, or a suspicion of oneself was heard."""
        self.score = min(MAX_HEALTH_SCORE, self.score + by)

    @property
    def timeout_multiplier(self) -> int:
        """What times are stretched by."""
        return self.score + 1


def suspicion_timeout_s(scales: ProtocolTimings, fleet: int, confirmations: int) -> float:
    """How long (s) a suspicion lasts: the longest with no confirmation, the shortest once as many as are
    asked to help have confirmed it, each by its own probe (Lifeguard, section 4.2).
    """
    shortest = scales.suspect_for * max(1.0, math.log10(max(1, fleet))) * scales.period
    longest = scales.suspect_longest * shortest
    wanted = min(scales.helpers, max(0, fleet - 2))
    if wanted < 1:
        return shortest
    part = math.log(confirmations + 1) / math.log(wanted + 1)
    return max(shortest, longest - (longest - shortest) * part)
