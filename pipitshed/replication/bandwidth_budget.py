"""A limit on the bytes sent each second: a token bucket, shared fairly between tables."""

from __future__ import annotations

RATE_BYTES_PER_S = 6800.0  # of all messages to peers, headers included
BURST_BYTES = 1400.0  # beyond the rate; keeps the bytes sent in any second under 9,000
# Largest fraction of the refill that repays debt. The rest is left for a member's own requests even if it
# has to answer very many probes.
MAX_DEBT_REPAYMENT_FRACTION = 0.8
RESERVATION_S = 1.0  # time for which the share of a deferred table is reserved


class BandwidthBudget:
    """A token bucket for the bytes that all tables send. Times are seconds of any monotonic clock.

    Messages that cannot wait are charged too: they leave a debt that is repaid from the refill.
    """

    def __init__(
        self, tables: int, now: float, rate: float = RATE_BYTES_PER_S, burst: float = BURST_BYTES
    ) -> None:
        self._rate, self._burst = rate, burst
        self._tokens, self._refilled_at = burst, now
        self._debt = 0.0
        self._shares = [burst] * tables  # bytes that each table may send while another one waits
        self._waiting_until = [float("-inf")] * tables
        self.deferred_count = 0  # requests for bytes that were refused

    def _refill(self, now: float) -> None:
        refill = max(0.0, now - self._refilled_at) * self._rate
        self._refilled_at = max(now, self._refilled_at)
        repaid = min(self._debt, refill * MAX_DEBT_REPAYMENT_FRACTION)
        self._debt -= repaid
        self._tokens = min(self._burst, self._tokens + refill - repaid)
        share_refill = (refill - repaid) / len(self._shares)
        self._shares = [min(self._burst, share + share_refill) for share in self._shares]

    def charge(self, now: float, size: int) -> None:
        """Charge bytes that are sent even if the budget is exhausted, such as probes."""
        self._refill(now)
        self._debt = min(self._burst, self._debt + size)

    def available_bytes(self, now: float, table: int, min_bytes: int = 1) -> int:
        """Return how many bytes a table may send now, or 0 if these are fewer than `min_bytes`.

        In the latter case the table's share is reserved, so that a table with much to send does not starve
        one with little to send.
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
        """Take bytes that a table has sent out of the bucket and the table's share."""
        self._refill(now)
        self._tokens -= size
        self._shares[table] = max(0.0, self._shares[table] - size)
        self._waiting_until[table] = now
