"""Timings of the protocol and their adaptation by local health and confirmations, as in Lifeguard."""

from __future__ import annotations

import math

import msgspec

MAX_HEALTH_SCORE = 8
MAX_TIMING_S = 86_400
MAX_HELPERS = 16
MIN_TOMBSTONE_SYNCS = 4  # times sync-with-gone; below it a departed member's old record could return


class ProtocolTimings(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """Timings of the protocol, in seconds unless a field's comment gives another unit.

    All schedulers of a cluster should have the same timings. The field names are keys of the configuration
    file.
    """

    period: float = 0.2  # seconds between probes
    ack_within: float = 0.1  # timeout of an ack, after which helpers are asked for indirect pings
    helpers: int = 3  # number of members that are asked for an indirect ping
    suspect_for: float = 4.0  # shortest suspicion, in periods times log10 of the cluster size
    suspect_longest: float = 4.0  # longest suspicion, without confirmations, as a multiple of the shortest
    sync: float = 3.0  # seconds between exchanges with peers whose digests differ
    sync_with_gone: float = 10.0  # seconds between attempts to reach a dead member
    # Seconds for which a departed member's record is kept. Sides of a partition that lasts longer rejoin only
    # through seeds.
    tombstones: float = 120.0

    def find_invalid_field(self) -> tuple[str, str] | None:
        """Return the key of the first invalid field and the reason; None if all fields are valid."""
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
            return (
                "ack-within",
                f"{self.ack_within} leaves no time for indirect pings in a period of {self.period}",
            )
        if not 0 <= self.helpers <= MAX_HELPERS:
            return "helpers", f"{self.helpers} is not between 0 and 16"
        if self.suspect_longest < 1:
            return "suspect-longest", f"{self.suspect_longest} is below 1"
        if self.tombstones < MIN_TOMBSTONE_SYNCS * self.sync_with_gone:
            return (
                "tombstones",
                f"{self.tombstones} is below 4 times sync-with-gone: old records could return",
            )
        return None


class LocalHealth:
    """A score of this member's own health from 0, which is healthy, to `MAX_HEALTH_SCORE`.

    Timeouts of probes are multiplied by 1 + score, so that a member with a slow event loop does not suspect
    others because of its own delays.
    """

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """Lower the score; called when a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_failure(self, amount: int = 1) -> None:
        """Raise the score: after a probe timeout, missing nacks, a stall, or a suspicion of this member."""
        self.score = min(MAX_HEALTH_SCORE, self.score + amount)

    @property
    def timeout_multiplier(self) -> int:
        """The factor for timeouts of probes, 1 or more."""
        return self.score + 1


def suspicion_timeout_s(timings: ProtocolTimings, live_count: int, confirmations: int) -> float:
    """Return how long a suspicion lasts, in seconds (Lifeguard, section 4.2).

    Without a confirmation the timeout is the longest one. It shrinks with each member that confirms the
    suspicion by its own probe, and is the shortest once as many have confirmed it as are asked for an
    indirect ping.

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
