"""State of an exchange that this member leads, and the backoff from peers with failed exchanges."""

from __future__ import annotations

from dataclasses import dataclass, field

from pipitshed.replication.message_pacing import Address
from pipitshed.replication.messages import Compare, FetchRequest

MAX_FETCH_RANGES = 16  # per request
MAX_BACKOFF_PEERS = 64
MAX_FAILURE_COUNT = 10
BASE_BACKOFF_S = 1.0  # after the first failed exchange with a peer; doubled with each further failure


@dataclass(slots=True)
class ExchangeResult:
    """The result of an exchange that this member led; `complete` if all differing items were fetched."""

    table: int
    peer: Address
    complete: bool
    gained_count: int


@dataclass(slots=True)
class Exchange:
    """The state of an exchange that this member leads. Times are seconds of a monotonic clock."""

    table: int
    peer: Address
    deadline: float
    nodes_to_compare: list[int] = field(default_factory=list)
    # Ranges that differ, each with the peer's sum of hashes and number of items.
    nodes_to_fetch: dict[int, tuple[int, int]] = field(default_factory=dict)
    max_fetch_ranges: int = MAX_FETCH_RANGES  # reduced while answers are incomplete
    initial_digest: bytes = b""  # of this member's table at the start
    pending_request: Compare | FetchRequest | None = None
    retry_request: Compare | None = None  # a request without an answer, to be sent again
    due_at: float = 0.0  # when the pending request times out, or the next one is tried
    attempt_count: int = 0
    differed: bool = False
    missing_count: int = 0  # items that this member lacks, by the peer's item counts
    gained_count: int = 0
    sent_rows: bool = False
    incomplete: bool = False  # some differing ranges were not compared, or not fetched


class PeerBackoff:
    """Backoff from peers with which exchanges fail, as they are silent or their digests never match."""

    def __init__(self) -> None:
        self._failures: dict[tuple[int, Address], tuple[int, float]] = {}  # count, end of the backoff

    def allows(self, now: float, table: int, peer: Address) -> bool:
        """Whether the backoff from a peer has ended, so that an exchange may start."""
        return now >= self._failures.get((table, peer), (0, float("-inf")))[1]

    def reset(self, table: int, peer: Address) -> int:
        """Clear the failures of a peer, and return their number."""
        return self._failures.pop((table, peer), (0, 0.0))[0] if self._failures else 0

    def record_failure(self, now: float, table: int, peer: Address) -> None:
        """Start a backoff from a peer that is twice as long as the last one."""
        failure_count = min(MAX_FAILURE_COUNT, self.reset(table, peer) + 1)
        if len(self._failures) >= MAX_BACKOFF_PEERS:
            del self._failures[next(iter(self._failures))]
        backoff_s = BASE_BACKOFF_S * 2 ** (failure_count - 1)
        self._failures[table, peer] = failure_count, now + backoff_s
