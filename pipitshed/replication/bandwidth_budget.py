"""Bytes a second that hold in storms: a token bucket, shared fairly between tables."""

from __future__ import annotations

RATE = 6800.0  # bytes a second, of all that goes to peers, with its headers
BURST = 1400.0  # bytes at once beyond that; so under 9,000 go out in any one second
OWED = 0.8  # part of what comes in that may be taken for what goes anyway: whoever is asked very often must
# still tell those that ask of others
HUNGRY = 1.0  # s that a table which was put off has its share kept for it


class BandwidthBudget:
    """What all tables may send together. What goes anyway is charged too. Times are seconds
    of any clock that goes forward.
    """

    def __init__(self, tables: int, now: float, rate: float = RATE, burst: float = BURST) -> None:
        self._rate, self._burst = rate, burst
        self._level, self._at = burst, now
        self._owed = 0.0  # bytes that went anyway, still to be taken from what comes in
        self._shares = [burst] * tables  # what each has by right, where others wait
        self._hungry = [float("-inf")] * tables  # until when it counts as one that waits
        self.put_off = 0  # messages that had to wait, or were not sent

    def _refill(self, now: float) -> None:
        more = max(0.0, now - self._at) * self._rate
        self._at = max(now, self._at)
        paid = min(self._owed, more * OWED)
        self._owed -= paid
        self._level = min(self._burst, self._level + more - paid)
        part = (more - paid) / len(self._shares)
        self._shares = [min(self._burst, share + part) for share in self._shares]

    def charge(self, now: float, size: int) -> None:
        """Bytes that go whatever is left: probes."""
        self._refill(now)
        self._owed = min(self._burst, self._owed + size)

    def room(self, now: float, table: int, least: int = 1) -> int:
        """Bytes that a table may send now, 0 where they are under `least`; its share is kept for it then, as
        a table with much to say would else leave one with little waiting.
        """
        self._refill(now)
        room = self._level
        if any(until > now for other, until in enumerate(self._hungry) if other != table):
            room = min(room, self._shares[table])
        if room < least:
            self._hungry[table] = now + HUNGRY
            self.put_off += 1
            return 0
        return int(room)

    def spend(self, now: float, table: int, size: int) -> None:
        """A table has sent these."""
        self._refill(now)
        self._level -= size
        self._shares[table] = max(0.0, self._shares[table] - size)
        self._hungry[table] = now
