"""The cluster node of a scheduler: runs the membership protocol on sockets and on the event loop's clock."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import secrets
import time
from collections import Counter

from pipitshed.cluster import counters, peer_sockets
from pipitshed.cluster.codec import DATAGRAM_LIMIT_BYTES, Codec
from pipitshed.cluster.config_file import ClusterConfig
from pipitshed.cluster.datagrams import Datagrams
from pipitshed.cluster.event_log import EventLog
from pipitshed.cluster.messages import (
    Answer,
    ClusterMessage,
    Leave,
    SettingsMessage,
    ViewRequest,
    ViewResponse,
)
from pipitshed.cluster.settings import ReplicatedSettings, Reply, SettingsTarget
from pipitshed.cluster.streams import Streams
from pipitshed.cluster.view_report import view_metrics, view_report
from pipitshed.membership.instructions import (
    Instruction,
    MemberStateChanged,
    Reinstated,
    RowsChanged,
    SendMessage,
    Superseded,
)
from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import RepairMessage
from pipitshed.membership.protocol import Membership
from pipitshed.replication.row import Row

MS_PER_S = 1000
INSTANCE_ID_BITS = 32
RNG_SEED_BITS = 64

log = logging.getLogger("pipitshed.fleet")


class ClusterNode:
    """The cluster node of one scheduler.

    Clients' requests do not depend on it: if no peer answers, the scheduler continues to serve.
    """

    def __init__(
        self,
        config: ClusterConfig,
        zone: str,
        loop: asyncio.AbstractEventLoop,
        target: SettingsTarget | None = None,
    ) -> None:
        """Bind the peer address; replicated settings rows change the settings of `target`.

        Raises:
            OSError: The address is in use.
        """
        self._loop = loop
        self._config = config
        self._codec = Codec(config.cluster, config.secret)
        self.counts: Counter[str] = Counter()
        self._sockets = peer_sockets.bind(config.listen)
        self.address: Address = self._sockets.address
        self._events = EventLog.open(config.event_log)
        self_record = self._self_record(zone)
        self.settings: ReplicatedSettings | None = None
        if target is not None:
            self.settings = ReplicatedSettings(config, self_record, target, self, loop, self._events)
        self.membership = Membership(
            self_record,
            config.timings,
            config.seeds,
            random.Random(secrets.randbits(RNG_SEED_BITS)),
            loop.time(),
            (self.settings.table,) if self.settings is not None else (),
        )
        self._member_addresses: frozenset[Address] = frozenset()
        self._member_addresses_version = -1  # change count of the view that they were computed from
        self._streams = Streams(self._codec, loop, self._handle_message, self.count)
        self._datagrams = Datagrams(self._codec, loop, self._handle_message, self._is_member, self.count)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = math.inf  # stored here as uvloop's handle has no time if it is due immediately
        self._logged_digest = ""
        self._closed = False
        if self.settings is not None:
            self.settings.apply_stored_rows()

    async def start(self) -> None:
        """Open the sockets, and join the cluster by a full exchange with a seed."""
        sockets = self._sockets
        await self._loop.create_datagram_endpoint(lambda: self._datagrams, sock=sockets.datagram)
        self._server = await self._loop.create_server(self._streams.incoming, sock=sockets.stream)
        record = self.membership.self_record
        self._events.write(
            "started",
            name=record.name,
            address=f"{record.host}:{record.port}",
            zone=record.zone,
            incarnation=record.incarnation,
            life=record.instance_id,
        )
        cluster = self._config.cluster
        log.info("peer address %s:%d is open, name %s, cluster %s", *self.address, record.name, cluster)
        self._handle_timer()

    def count(self, counter: str) -> None:
        """Increment a counter of `fleet show` and `/-/metrics`."""
        self.counts[counter] += 1

    def send(self, address: Address, message: ClusterMessage) -> None:
        """Send a datagram even if the bandwidth budget is used up, and charge its size to the budget."""
        data = self._codec.encode(message)
        self.membership.replicator.budget.charge(self._loop.time(), len(data))
        self._datagrams.send(address, data)

    def reply_function(self, source: Address) -> Reply | None:
        """Return a function that answers the message being handled, now or later; None for a datagram."""
        answer = self._streams.deferred_answer(source)
        return None if answer is None else lambda message: answer(self._codec.encode(message))

    def disseminate(self, row: Row) -> None:
        """Send a row that was written here to the other members."""
        assert self.settings is not None
        table_name = self.settings.table.name
        self._execute(self.membership.disseminate(self._loop.time(), table_name, (row,)))
        self._schedule()

    def view_response(self) -> ViewResponse:
        """Return the membership view that `fleet show` prints."""
        return view_report(self.membership, self._loop.time(), self.counts)

    def metrics_lines(self) -> bytes:
        """Return the metrics of the view, the node and the settings for `/-/metrics`."""
        settings_metrics = self.settings.metrics() if self.settings is not None else {}
        return view_metrics(self.membership, self.counts, settings_metrics)

    def leave(self) -> None:
        """Announce that this scheduler leaves, and repeat the announcement until the node is closed."""
        if not self.membership.leaving:
            log.info("leaving the cluster; the other members are notified")
            self._events.write("leaving")
            self._execute(self.membership.leave(self._loop.time()))
            self._schedule()

    def close(self) -> None:
        """Close the sockets and the event log."""
        self._closed = True
        if self.settings is not None:
            self.settings.close()
        if self._timer is not None:
            self._timer.cancel()
        self._datagrams.close()
        self._streams.close()
        if self._server is not None:
            self._server.close()
        self._events.write("ended", **self.counts)
        self._events.close()

    def _self_record(self, zone: str) -> MemberRecord:
        """Return this scheduler's member record; `zone` is used if the file names none."""
        config = self._config
        host, port = config.advertise or self.address
        return MemberRecord(
            config.name,
            host,
            port,
            config.zone or zone,
            int(time.time() * MS_PER_S),
            secrets.randbits(INSTANCE_ID_BITS),
            reported_by=config.name,
            region=config.region,
        )

    def _is_member(self, address: Address) -> bool:
        view = self.membership.view
        if self._member_addresses_version != view.change_count:
            self._member_addresses = frozenset(member.address for member in view)
            self._member_addresses_version = view.change_count
        return address in self._member_addresses

    def _handle_message(self, message: ClusterMessage, source: Address) -> None:
        if self._closed:
            return
        if isinstance(message, ViewRequest):
            self._streams.answer(source, self._codec.encode(self.view_response()))
        elif isinstance(message, Leave):
            self.leave()
            self._streams.answer(source, self._codec.encode(self.view_response()))
        elif isinstance(message, SettingsMessage):
            if self.settings is not None:
                self.settings.handle_message(message, source)
        elif not isinstance(message, Answer):
            self._execute(self.membership.handle_message(self._loop.time(), message, source))
            self._schedule()

    def _handle_timer(self) -> None:
        self._timer = None
        self._execute(self.membership.handle_timeouts(self._loop.time()))
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer for the protocol's next due time; a timer that is due earlier is kept."""
        due_at = self.membership.next_due_at()
        if self._closed or (self._timer is not None and self._timer_due_at <= due_at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = due_at
        self._timer = self._loop.call_at(due_at, self._handle_timer)

    def _execute(self, instructions: list[Instruction]) -> None:
        """Carry out the instructions of the membership protocol."""
        for instruction in instructions:
            if isinstance(instruction, SendMessage):
                self._send_message(instruction)
            elif isinstance(instruction, MemberStateChanged):
                self._log_state_change(instruction)
            elif isinstance(instruction, RowsChanged):
                assert self.settings is not None  # only the settings have a table of rows
                self.settings.rows_received(instruction.rows)
            elif isinstance(instruction, Superseded):
                self._log_superseded(instruction.by)
            elif isinstance(instruction, Reinstated):
                self._log_reinstated(instruction.after)
        if instructions:
            self._log_view()

    def _send_message(self, instruction: SendMessage) -> None:
        """Send a message on the stream whose request it answers, or else as a datagram."""
        data = self._codec.encode(instruction.message)
        if isinstance(instruction.message, RepairMessage):
            self.counts[counters.REPAIR_BYTES_OUT] += len(data)
        if self._streams.answer(instruction.to, data):
            return
        if len(data) > DATAGRAM_LIMIT_BYTES:
            self.count(counters.DROPPED_TOO_LONG)
        else:
            self._datagrams.send(instruction.to, data)

    def _log_state_change(self, change: MemberStateChanged) -> None:
        member, previous_state = change.record, change.previous_state
        state = member.state.name.lower()
        previous = previous_state.name.lower() if previous_state is not None else "unknown"
        is_suspicion = MemberState.SUSPECT in (member.state, previous_state)
        if not is_suspicion or member.is_departed:
            log.info(
                "member %s is %s (previously %s), reported by %s",
                member.name,
                state,
                previous,
                member.reported_by,
            )
        self._events.write(
            "member",
            name=member.name,
            state=state,
            before=previous,
            life=member.instance_id,
            incarnation=member.incarnation,
            said_by=member.reported_by,
        )

    def _log_superseded(self, other: MemberRecord) -> None:
        log.error(
            "another process has the same name %s at %s:%d, started later by its clock; "
            "this process is not in the membership view until the other one has departed",
            other.name,
            other.host,
            other.port,
        )
        self._events.write("displaced", by=f"{other.host}:{other.port}", life=other.instance_id)

    def _log_reinstated(self, other: MemberRecord) -> None:
        log.warning("the other process with the same name at %s:%d has departed", other.host, other.port)
        self._events.write("reinstated", after=f"{other.host}:{other.port}", life=other.instance_id)

    def _log_view(self) -> None:
        """Write the view to the event log if it has changed."""
        view = self.membership.view
        digest = view.digest()
        if digest == self._logged_digest:
            return
        self._logged_digest = digest
        self._events.write(
            "view",
            number=view.change_count,
            digest=digest,
            health=self.membership.health.score,
            living=[[member.name, member.instance_id] for member in view.live_members()],
        )
