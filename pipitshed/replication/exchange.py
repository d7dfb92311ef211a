"""The state of an exchange that this member leads, and the backoff from peers with which exchanges fail."""

from __future__ import annotations

from dataclasses import dataclass, field

from pipitshed.replication.message_pacing import Address
from pipitshed.replication.messages import Compare, FetchRequest

MAX_FETCH_RANGES = 16  # that one request asks for
MAX_BACKOFF_PEERS = 64
MAX_FAILURE_COUNT = 10
BASE_BACKOFF_S = 1.0  # that a peer which differs and brings nothing is left alone; doubled with each failure


@dataclass(slots=True)
class ExchangeResult:
    """An exchange that this member led has ended; `complete` if all that differed was fetched."""

    table: int
    peer: Address
    complete: bool
    gained_count: int


@dataclass(slots=True)
class Exchange:
    """An exchange that this member leads."""

    table: int
    peer: Address
    deadline: float
    nodes_to_compare: list[int] = field(default_factory=list)
    # Ranges that differ, with the sum and the number of items that the peer has there.
    nodes_to_fetch: dict[int, tuple[int, int]] = field(default_factory=dict)
    max_fetch_ranges: int = MAX_FETCH_RANGES  # fewer while the answers are incomplete
    initial_digest: bytes = b""  # of the table here
    pending_request: Compare | FetchRequest | None = None
    retry_request: Compare | None = None  # had no answer, and is sent again
    due_at: float = 0.0  # when the pending request times out, or the next one is tried
    attempt_count: int = 0
    differed: bool = False
    missing_count: int = 0  # items missing here, by the peer's item counts
    gained_count: int = 0
    sent_rows: bool = False
    incomplete: bool = False  # some of what differs was not compared, or not fetched


class PeerBackoff:
    """Leaves peers alone with which exchanges fail: they are silent, or their digests never match."""

    def __init__(self) -> None:
        self._failures: dict[tuple[int, Address], tuple[int, float]] = {}  # how many, left alone until

    def allows(self, now: float, table: int, peer: Address) -> bool:
        """Whether an exchange with a peer may start."""
        return now >= self._failures.get((table, peer), (0, float("-inf")))[1]

    def reset(self, table: int, peer: Address) -> int:
        """Forget a peer's failures; return how many there were."""
        return self._failures.pop((table, peer), (0, 0.0))[0] if self._failures else 0

    def record_failure(self, now: float, table: int, peer: Address) -> None:
        """Leave a peer alone, twice as long as the last time."""
        failure_count = min(MAX_FAILURE_COUNT, self.reset(table, peer) + 1)
        if len(self._failures) >= MAX_BACKOFF_PEERS:
            del self._failures[next(iter(self._failures))]
        backoff_s = BASE_BACKOFF_S * 2 ** (failure_count - 1)
        self._failures[table, peer] = failure_count, now + backoff_s
