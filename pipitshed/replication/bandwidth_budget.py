"""A limit on the bytes sent each second: a token bucket, shared fairly between tables."""

from __future__ import annotations

RATE_BYTES_PER_S = 6800.0  # of all that goes to peers, with its headers
BURST_BYTES = 1400.0  # at once beyond the rate, so that under 9,000 bytes leave in any one second
MAX_DEBT_REPAYMENT_FRACTION = 0.8  # of the refill: a member that is probed very often still has bytes left
# for requests of its own
RESERVATION_S = 1.0  # how long a table that was deferred has its share reserved


class BandwidthBudget:
    """The bytes that all tables may send together. Times are seconds of any monotonic clock.

    Messages that can't wait are charged too: they leave a debt that is repaid from the refill.
    """

    def __init__(
        self, tables: int, now: float, rate: float = RATE_BYTES_PER_S, burst: float = BURST_BYTES
    ) -> None:
        self._rate, self._burst = rate, burst
        self._tokens, self._refilled_at = burst, now
        self._debt = 0.0
        self._shares = [burst] * tables  # what each table may send while others wait
        self._waiting_until = [float("-inf")] * tables
        self.deferred_count = 0  # messages that had to wait, or were not sent

    def _refill(self, now: float) -> None:
        refill = max(0.0, now - self._refilled_at) * self._rate
        self._refilled_at = max(now, self._refilled_at)
        repaid = min(self._debt, refill * MAX_DEBT_REPAYMENT_FRACTION)
        self._debt -= repaid
        self._tokens = min(self._burst, self._tokens + refill - repaid)
        share_refill = (refill - repaid) / len(self._shares)
        self._shares = [min(self._burst, share + share_refill) for share in self._shares]

    def charge(self, now: float, size: int) -> None:
        """Account for bytes that are sent whatever the budget has left, such as probes."""
        self._refill(now)
        self._debt = min(self._burst, self._debt + size)

    def available_bytes(self, now: float, table: int, min_bytes: int = 1) -> int:
        """Return how many bytes a table may send now, or 0 where these are fewer than `min_bytes`.

        In the latter case the table's share is reserved for it: a table with much to send would otherwise
        leave one with little waiting.
        """
        self._refill(now)
        available = self._tokens
        if any(until > now for other, until in enumerate(self._waiting_until) if other != table):
            available = min(available, self._shares[table])
        if available < min_bytes:
            self._waiting_until[table] = now + RESERVATION_S
            self.deferred_count += 1
            return 0
        return int(available)

    def spend(self, now: float, table: int, size: int) -> None:
        """Account for bytes that a table has sent."""
        self._refill(now)
        self._tokens -= size
        self._shares[table] = max(0.0, self._shares[table] - size)
        self._waiting_until[table] = now
