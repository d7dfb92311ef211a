"""Timings of the protocol, and how they adapt: local health and suspicion timeouts, as in Lifeguard."""

from __future__ import annotations

import math

import msgspec

MAX_HEALTH_SCORE = 8
MAX_TIMING_S = 86_400
MAX_HELPERS = 16
MIN_TOMBSTONE_SYNCS = 4  # a shorter tombstone would let the old record of a departed member return


class ProtocolTimings(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """Timings of the protocol, in seconds unless said otherwise.

    All schedulers of a cluster should have the same. The names are the keys of the operators' file.
    """

    period: float = 0.2  # between probes
    ack_within: float = 0.1  # for the ack of a probe, before other members are asked for indirect pings
    helpers: int = 3  # members that are asked for an indirect ping
    suspect_for: float = 4.0  # periods, times log10 of the cluster's size: the shortest suspicion
    suspect_longest: float = 4.0  # times the shortest: a suspicion without a confirmation
    sync: float = 3.0  # between exchanges with a peer whose digest differs
    sync_with_gone: float = 10.0  # between attempts to reach a member that is considered dead
    tombstones: float = (
        120.0  # a departed member's record is kept; after it only seeds join two sides of a partition
    )

    def find_invalid_field(self) -> tuple[str, str] | None:
        """Return the first invalid field, and why it is invalid; None where all are valid."""
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
            if not 0 < value < MAX_TIMING_S:
                return name.replace("_", "-"), f"{value} is not between 0 and 86400"
        if self.ack_within >= self.period:
            return "ack-within", f"{self.ack_within} leaves others no time in a period of {self.period}"
        if not 0 <= self.helpers <= MAX_HELPERS:
            return "helpers", f"{self.helpers} is not between 0 and 16"
        if self.suspect_longest < 1:
            return "suspect-longest", f"{self.suspect_longest} is under 1"
        if self.tombstones < MIN_TOMBSTONE_SYNCS * self.sync_with_gone:
            return "tombstones", f"{self.tombstones} is under four times sync-with-gone: old records return"
        return None


class LocalHealth:
    """A score of this member's own health: 0 is healthy.

    Timeouts of probes are multiplied by 1 + score, so that a member whose event loop is slow suspects nobody
    for its own delays.
    """

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """Lower the score: a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_failure(self, amount: int = 1) -> None:
        """Raise the score: a probe or a helper did not answer, or another member suspected this one."""
        self.score = min(MAX_HEALTH_SCORE, self.score + amount)

    @property
    def timeout_multiplier(self) -> int:
        """The factor by which timeouts are longer."""
        return self.score + 1


def suspicion_timeout_s(timings: ProtocolTimings, live_count: int, confirmations: int) -> float:
    """Return how long a suspicion lasts (Lifeguard, section 4.2).

    It is the longest without a confirmation, and the shortest once as many members have confirmed it, each
    by its own probe, as are asked for an indirect ping.

    Args:
        timings: The protocol's timings.
        live_count: Number of members that are alive or suspected.
        confirmations: Number of members that have confirmed the suspicion.
    """
    shortest = timings.suspect_for * max(1.0, math.log10(max(1, live_count))) * timings.period
    longest = timings.suspect_longest * shortest
    expected = min(timings.helpers, max(0, live_count - 2))
    if expected < 1:
        return shortest
    confirmed_fraction = math.log(confirmations + 1) / math.log(expected + 1)
    return max(shortest, longest - (longest - shortest) * confirmed_fraction)
