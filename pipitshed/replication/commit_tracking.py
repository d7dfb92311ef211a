"""Tracks which member has applied which row.

Members report to a row's writer once they have applied the row, and the writer queries members that have not
reported. A row is in force once every live member, in its present instance, has confirmed this exact row.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from pipitshed.replication.row import Row
from pipitshed.replication.row_table import RowTable

REPORT_RATE_BYTES_PER_S = 4500.0  # of the reports of all members to one writer
FRAME_BYTES = 24  # around a message: the transport's header with a cluster name of usual length
MAX_QUERY_KEYS = 8  # per query
MAX_REPORTED_ROWS = 2  # per unrequested report; for more rows only the table's digest is reported
MAX_REPORTED_REJECTIONS = 4  # per report
MAX_REASON_CHARS = 80
QUERY_DELAY_S = 0.4  # after the time by which all members should have reported
QUERY_RETRY_S = 1.0  # minimum between two queries to one member
QUERY_INTERVAL_S = 0.25  # between two batches of queries
QUERY_ROUND_TRIP_BYTES = 160  # of a query and its answer
MAX_QUERIES_AT_ONCE = int(REPORT_RATE_BYTES_PER_S * QUERY_INTERVAL_S / QUERY_ROUND_TRIP_BYTES)
MAX_WATCHED_ROWS = 256
WATCH_S = 10.0  # time for which members are queried after the last request for a row's status
_SAMPLE_HASH = 2**63  # has the usual encoded length of a content hash

_encoder = msgspec.msgpack.Encoder()


class AppliedReport(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """The sender has applied the table with this digest, and the listed rows, except the rejected rows."""

    sender: str
    instance_id: int
    sequence: int  # counts the sender's changes; the report with the higher one is the later
    digest: bytes
    rows: tuple[int, ...] = ()  # content hashes of applied rows
    rejected: tuple[tuple[int, str], ...] = ()  # content hash and reason of each
    has_more_rejections: bool = False  # whether `rejected` lists only some of the rejected rows


class AppliedQuery(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Asks which of the rows with these keys the receiver has applied."""

    sender: str
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AppliedState:
    """The rows that one member has applied and rejected."""

    digest: bytes = b""  # of the table from which the rows were applied
    rows: Mapping[str, Row] = field(default_factory=dict)  # the rows of that table, by key
    applied: Mapping[str, Row] = field(default_factory=dict)  # by key, with deleted rows
    rejected: Mapping[str, str] = field(default_factory=dict)  # reasons, by key


@dataclass(slots=True)
class _Watch:
    """The confirmations of one row."""

    row: Row
    content_hash: int
    since: float
    until: float
    confirmed: dict[str, int] = field(default_factory=dict)  # instance ids, by member
    rejected: dict[str, tuple[int, str]] = field(default_factory=dict)  # instance id and reason, by member


@dataclass(frozen=True, slots=True)
class CommitStatus:
    """Which members have applied a row, and which have not."""

    appliers: tuple[str, ...]
    missing: tuple[tuple[str, str], ...]  # name of the member, and its reason if it rejected the row
    superseded: Row | None = None  # the row that the table has instead

    @property
    def in_force(self) -> bool:
        """Whether every live member has applied the row, and no other row has replaced it."""
        return not self.missing and self.superseded is None


LiveInstances = Mapping[str, int]  # instance ids of live members, by name
OutgoingReport = tuple[str, AppliedReport | AppliedQuery]  # the receiver's name, and the message


class Confirmations:
    """Tracks confirmations for one member: reports that it sends to writers, and receives as a writer.

    Times are seconds of any monotonic clock.
    """

    def __init__(self, name: str, instance_id: int, table: RowTable, rng: random.Random) -> None:
        self.state = AppliedState()
        self._name, self._instance_id = name, instance_id
        self._table = table
        self._rng = rng
        # Reports to be sent, by writer: the time, and the keys of the rows.
        self._pending_reports: dict[str, tuple[float, dict[str, None]]] = {}
        self._watches: dict[str, _Watch] = {}  # by key
        self._queried_at: dict[str, float] = {}  # time of the last query, by member
        self._last_reports: dict[str, tuple[int, int]] = {}  # instance id and sequence, by member
        self._sequence = 0
        self._next_query_at = float("inf")

    # ---- as a member

    def record_applied(
        self, now: float, state: AppliedState, changed: Iterable[Row], cluster_size: int
    ) -> None:
        """Record that this member has applied or rejected rows, and schedule reports to their writers.

        Each report has a random delay, so that all members together stay within the report rate.
        """
        self.state = state
        self._sequence += 1
        for row in changed:
            if row.writer == self._name:
                continue
            if row.writer not in self._pending_reports:
                delay_s = self._rng.random() * self._reporting_time_s(cluster_size)
                self._pending_reports[row.writer] = now + delay_s, {}
            self._pending_reports[row.writer][1][row.key] = None

    def _reporting_time_s(self, cluster_size: int) -> float:
        """Return the time in which all members report one row, if reports are as long as this member's."""
        report = AppliedReport(
            self._name, self._instance_id, self._sequence, self.state.digest, (_SAMPLE_HASH,)
        )
        report_bytes = FRAME_BYTES + len(_encoder.encode(report))
        return cluster_size * report_bytes / REPORT_RATE_BYTES_PER_S

    def answer_query(self, message: AppliedQuery) -> AppliedReport:
        """Return the report that answers a writer's query."""
        return self._report(message.keys[:MAX_QUERY_KEYS])

    def _report(self, keys: Iterable[str]) -> AppliedReport:
        reported = tuple(keys)
        applied, rejected = self.state.applied, self.state.rejected
        rejected_keys = sorted(rejected, key=lambda key: key not in reported)[:MAX_REPORTED_REJECTIONS]
        return AppliedReport(
            self._name,
            self._instance_id,
            self._sequence,
            self.state.digest,
            tuple(applied[key].content_hash for key in reported if key in applied),
            tuple(
                (self.state.rows[key].content_hash, rejected[key][:MAX_REASON_CHARS]) for key in rejected_keys
            ),
            len(rejected) > MAX_REPORTED_REJECTIONS,
        )

    # ---- as a writer, or as a member that reports a row's status

    def watch(self, now: float, row: Row) -> None:
        """Track which members apply this row for `WATCH_S`, and query those that do not report it."""
        watch = self._watches.get(row.key)
        if watch is None or watch.content_hash != row.content_hash:
            self._watches.pop(row.key, None)
            if len(self._watches) >= MAX_WATCHED_ROWS:
                del self._watches[next(iter(self._watches))]
            watch = self._watches[row.key] = _Watch(row, row.content_hash, now, now)
        watch.until = now + WATCH_S
        self._next_query_at = min(self._next_query_at, now + QUERY_INTERVAL_S)

    def receive_report(self, message: AppliedReport, live_instances: LiveInstances) -> None:
        """Process a member's report; ignore it if from another instance or older than the last one."""
        instance_id, sequence = self._last_reports.get(message.sender, (0, 0))
        if live_instances.get(message.sender) != message.instance_id or (
            instance_id == message.instance_id and message.sequence < sequence
        ):
            return
        self._last_reports[message.sender] = message.instance_id, message.sequence
        # The digest covers rejected rows too, so it confirms rows only if the report lists all rejected ones.
        has_applied_table = message.digest == self._table.digest() and not message.has_more_rejections
        rejected, applied = dict(message.rejected), set(message.rows)
        for key, watch in self._watches.items():
            if watch.content_hash in applied or (
                has_applied_table and watch.content_hash not in rejected and self._table.get(key) == watch.row
            ):
                watch.confirmed[message.sender] = message.instance_id
                watch.rejected.pop(message.sender, None)
            elif watch.content_hash in rejected:
                watch.rejected[message.sender] = message.instance_id, rejected[watch.content_hash]
                watch.confirmed.pop(message.sender, None)

    def status(self, now: float, row: Row, live_instances: LiveInstances) -> CommitStatus:
        """Return which members have applied a row, and watch the row for another `WATCH_S`."""
        current = self._table.get(row.key)
        if current != row:
            return CommitStatus((), (), current if current is not None else row)
        self.watch(now, row)
        missing = self._missing(self._watches[row.key], live_instances)
        appliers = [name for name in live_instances if name not in missing]
        return CommitStatus(tuple(sorted(appliers)), tuple(sorted(missing.items())))

    def _missing(self, watch: _Watch, live_instances: LiveInstances) -> dict[str, str]:
        """Return the members that have not applied a row, with their reason if they rejected it."""
        missing: dict[str, str] = {}
        for name, instance_id in live_instances.items():
            if name == self._name:
                own = self.state.applied.get(watch.row.key)
                if own is None or own.content_hash != watch.content_hash:
                    missing[name] = self.state.rejected.get(watch.row.key, "")
            elif watch.confirmed.get(name) != instance_id:
                rejecting_instance, reason = watch.rejected.get(name, (None, ""))
                missing[name] = reason if rejecting_instance == instance_id else ""
        return missing

    # ---- time

    def next_due_at(self) -> float:
        """Return the time at which the next report or query is due; infinity if none is."""
        return min([self._next_query_at, *(when for when, _ in self._pending_reports.values())])

    def handle_timeouts(self, now: float, live_instances: LiveInstances) -> list[OutgoingReport]:
        """Return the reports and queries that are due, with their receivers."""
        outgoing: list[OutgoingReport] = []
        for writer, (when, keys) in list(self._pending_reports.items()):
            if when <= now:
                del self._pending_reports[writer]
                if writer in live_instances:
                    outgoing.append((writer, self._report(keys if len(keys) <= MAX_REPORTED_ROWS else ())))
        if self._next_query_at <= now:
            outgoing += self._queries(now, live_instances)
        return outgoing

    def _queries(self, now: float, live_instances: LiveInstances) -> list[OutgoingReport]:
        """Return queries to members that have not reported watched rows, a few at a time."""
        watches = [watch for watch in self._watches.values() if watch.until > now]
        self._next_query_at = now + QUERY_INTERVAL_S if watches else float("inf")
        self._forget_departed(live_instances)
        unreported_keys = self._unreported_keys(now, watches, live_instances)
        by_last_query = sorted((self._queried_at.get(name, 0.0), name) for name in unreported_keys)
        outgoing: list[OutgoingReport] = []
        for queried_at, name in by_last_query[:MAX_QUERIES_AT_ONCE]:
            if now - queried_at >= QUERY_RETRY_S or name not in self._queried_at:
                self._queried_at[name] = now
                outgoing.append(
                    (name, AppliedQuery(self._name, tuple(unreported_keys[name][:MAX_QUERY_KEYS])))
                )
        return outgoing

    def _forget_departed(self, live_instances: LiveInstances) -> None:
        self._queried_at = {name: when for name, when in self._queried_at.items() if name in live_instances}
        self._last_reports = {
            name: report for name, report in self._last_reports.items() if name in live_instances
        }

    def _unreported_keys(
        self, now: float, watches: Iterable[_Watch], live_instances: LiveInstances
    ) -> dict[str, list[str]]:
        """Return the keys of overdue rows, by the member that has neither applied nor rejected them."""
        overdue_s = self._reporting_time_s(len(live_instances)) + QUERY_DELAY_S
        unreported: dict[str, list[str]] = {}
        for watch in watches:
            if now - watch.since < overdue_s:
                continue
            for name, reason in self._missing(watch, live_instances).items():
                if name != self._name and not reason:
                    unreported.setdefault(name, []).append(watch.row.key)
        return unreported
