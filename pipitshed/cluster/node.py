"""This scheduler's part in the fleet: the protocol of `membership`, on sockets and on the loop's clock."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import secrets
import socket
import time
from collections import Counter

from pipitshed.cluster.codec import DATAGRAM_LIMIT, Codec
from pipitshed.cluster.config_file import ClusterConfig
from pipitshed.cluster.datagrams import Datagrams
from pipitshed.cluster.event_log import EventLog
from pipitshed.cluster.messages import Answer, ClusterMessage, Leave, MemberRow, Settings, Show, Shown
from pipitshed.cluster.settings import ReplicatedSettings, Reply, SettingsTarget
from pipitshed.cluster.streams import Streams
from pipitshed.membership.effects import Instruction, MemberStateChanged, RowsChanged, SendMessage, Superseded
from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import RepairMessage
from pipitshed.membership.protocol import Membership
from pipitshed.replication.row import Row as SettingsRow

log = logging.getLogger("pipitshed.fleet")


class ClusterNode:
    """One scheduler among its peers. Nothing here decides about a request: where no peer answers, the
    scheduler serves on.
    """

    def __init__(
        self,
        peers: ClusterConfig,
        zone: str,
        loop: asyncio.AbstractEventLoop,
        tuned: SettingsTarget | None = None,
    ) -> None:
        """Bind the peer address; OSError where it is taken. Settings by row change what is `tuned`."""
        self._loop = loop
        self._peers = peers
        self._codec = Codec(peers.cluster, peers.secret)
        self.counts: Counter[str] = Counter()
        self._socket, self._datagram_socket = _bind(peers.listen)
        self.address: Address = self._socket.getsockname()[:2]
        self._log = EventLog.to(peers.event_log)
        host, port = peers.advertise or self.address
        me = MemberRecord(
            peers.name,
            host,
            port,
            peers.zone or zone,
            int(time.time() * 1000),
            secrets.randbits(32),
            reported_by=peers.name,
            region=peers.region,
        )
        self.settings = (
            ReplicatedSettings(peers, me, tuned, self, loop, self._log) if tuned is not None else None
        )
        self.membership = Membership(
            me,
            peers.timings,
            peers.seeds,
            random.Random(secrets.randbits(64)),
            loop.time(),
            (self.settings.table,) if self.settings is not None else (),
        )
        self._addresses: tuple[int, frozenset[Address]] = (-1, frozenset())
        self._streams = Streams(self._codec, loop, self._heard, self.count)
        self._datagrams = Datagrams(self._codec, loop, self._heard, self._known, self.count)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = math.inf  # loop time of that timer; uvloop's has none where it is due at once
        self._told = ""  # the digest that the event log has last
        self._closed = False
        if self.settings is not None:
            self.settings.begin()

    async def start(self) -> None:
        """Join: listen, and exchange all with a seed."""
        await self._loop.create_datagram_endpoint(lambda: self._datagrams, sock=self._datagram_socket)
        self._server = await self._loop.create_server(self._streams.incoming, sock=self._socket)
        me = self.membership.self_record
        self._log.write(
            "started",
            name=me.name,
            address=f"{me.host}:{me.port}",
            zone=me.zone,
            incarnation=me.incarnation,
            life=me.instance_id,
        )
        log.info("peer address on %s:%d, as %s in cluster %s", *self.address, me.name, self._peers.cluster)
        self._step()

    # ---- in

    def count(self, what: str) -> None:
        """Count it, for `fleet show` and `/-/metrics`."""
        self.counts[what] += 1

    def _known(self, address: Address) -> bool:
        number, addresses = self._addresses
        if number != self.membership.view.change_count:
            addresses = frozenset(word.address for word in self.membership.view)
            self._addresses = self.membership.view.change_count, addresses
        return address in addresses

    def _heard(self, message: ClusterMessage, source: Address) -> None:
        if self._closed:
            return
        if isinstance(message, Show):
            self._streams.answer(source, self._codec.encode(self.shown()))
        elif isinstance(message, Leave):
            self.leave()
            self._streams.answer(source, self._codec.encode(self.shown()))
        elif isinstance(message, Settings):
            if self.settings is not None:
                self.settings.hear(message, source)
        elif not isinstance(message, Answer):
            self._carry_out(self.membership.handle_message(self._loop.time(), message, source))
            self._arm()

    def _step(self) -> None:
        self._timer = None
        self._carry_out(self.membership.handle_timeouts(self._loop.time()))
        self._arm()

    def _arm(self) -> None:
        """Wake when the protocol has something to do; an earlier wake stands."""
        due = self.membership.next_due_at()
        if self._closed or (self._timer is not None and self._due <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_at(due, self._step)

    # ---- out

    def _carry_out(self, effects: list[Instruction]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._tell(effect)
            elif isinstance(effect, MemberStateChanged):
                self._news(effect)
            elif isinstance(effect, RowsChanged):
                assert self.settings is not None  # it has the only table
                self.settings.news(effect.rows)
            elif isinstance(effect, Superseded):
                log.error(
                    "another process holds the name %s: %s:%d, started later; this one is out of the view",
                    effect.by.name,
                    effect.by.host,
                    effect.by.port,
                )
                self._log.write(
                    "displaced", by=f"{effect.by.host}:{effect.by.port}", life=effect.by.instance_id
                )
        view = self.membership.view
        if effects and (digest := view.digest()) != self._told:
            self._told = digest
            self._log.write(
                "view",
                number=view.change_count,
                digest=digest,
                health=self.membership.health.score,
                living=[[word.name, word.instance_id] for word in view.live_members()],
            )

    def _tell(self, tell: SendMessage) -> None:
        data = self._codec.encode(tell.message)
        if isinstance(tell.message, RepairMessage):
            self.counts["repair_bytes_out"] += len(data)
        if self._streams.answer(tell.to, data):
            return
        if len(data) > DATAGRAM_LIMIT:
            self.count("dropped_long")
        else:
            self._datagrams.send(tell.to, data)

    # ---- for settings by row

    def send(self, to: Address, message: ClusterMessage) -> None:
        """Send a datagram; it goes whatever the budget has left, and counts."""
        data = self._codec.encode(message)
        self.membership.replicator.budget.charge(self._loop.time(), len(data))
        self._datagrams.send(to, data)

    def reply(self, source: Address) -> Reply | None:
        """What answers the stream that is being heard, now or later; None where it is none."""
        answer = self._streams.deferred_answer(source)
        return None if answer is None else lambda message: answer(self._codec.encode(message))

    def spread(self, row: SettingsRow) -> None:
        """Tell the others of a row that was written here."""
        assert self.settings is not None
        self._carry_out(self.membership.disseminate(self._loop.time(), self.settings.table.name, (row,)))
        self._arm()

    def _news(self, news: MemberStateChanged) -> None:
        word = news.record
        before = news.previous_state.name.lower() if news.previous_state is not None else "unknown"
        state = word.state.name.lower()
        if (
            word.state is not MemberState.SUSPECT
            and news.previous_state is not MemberState.SUSPECT
            or word.is_departed
        ):
            log.info("%s is %s (%s before), says %s", word.name, state, before, word.reported_by)
        self._log.write(
            "member",
            name=word.name,
            state=state,
            before=before,
            life=word.instance_id,
            incarnation=word.incarnation,
            said_by=word.reported_by,
        )

    # ---- what operators ask

    def shown(self) -> Shown:
        """The view, as `fleet show` prints it."""
        membership, now = self.membership, self._loop.time()
        view, digest = membership.view, membership.view.digest()

        def agrees(word: MemberRecord) -> bool | None:
            if word.name == membership.self_record.name:
                return True
            return None if word.is_departed else membership.replicator.agree(word.name)

        rows = [
            MemberRow(
                word.name,
                word.zone,
                f"{word.host}:{word.port}",
                word.state.name.lower(),
                word.incarnation,
                round(now - view.since(word.name), 3),
                word.reported_by,
                agrees(word),
            )
            for word in sorted(view, key=lambda word: word.name)
        ]
        return Shown(
            membership.self_record.name,
            view.change_count,
            digest,
            membership.health.score,
            membership.superseded,
            membership.leaving,
            tuple(rows),
            dict(self.counts),
        )

    def lines(self) -> bytes:
        """The fleet's figures, for `/-/metrics`."""
        view = self.membership.view
        counts = Counter(word.state for word in view)
        told = {f"fleet.{state.name.lower()}": counts[state] for state in MemberState}
        told |= {"fleet.view_number": view.change_count, "fleet.health": self.membership.health.score}
        told |= {f"fleet.{name}": count for name, count in sorted(self.counts.items())}
        if self.settings is not None:
            told |= {f"fleet.{name}": count for name, count in sorted(self.settings.figures().items())}
        return "".join(f"scheduler.{name}={value}\n" for name, value in told.items()).encode()

    def leave(self) -> None:
        """Say that this scheduler goes, and go on saying so until it is closed."""
        if not self.membership.leaving:
            log.info("leaving the fleet in good order")
            self._log.write("leaving")
            self._carry_out(self.membership.leave(self._loop.time()))
            self._arm()

    def close(self) -> None:
        """End all of it."""
        self._closed = True
        if self.settings is not None:
            self.settings.close()
        if self._timer is not None:
            self._timer.cancel()
        self._datagrams.close()
        self._streams.close()
        if self._server is not None:
            self._server.close()
        self._log.write("ended", **self.counts)
        self._log.close()


def _bind(address: Address) -> tuple[socket.socket, socket.socket]:
    """The two sockets of the peer address, for streams and datagrams, at the same port; OSError where it is
    taken. Port 0 asks for one that is free for both.
    """
    for last in [False] * 8 + [True]:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind(address)
            stream.listen(128)  # so that a second process that asks for the port is told here
            datagram.bind((address[0], stream.getsockname()[1]))
        except OSError:
            stream.close()
            datagram.close()
            if last or address[1]:
                raise
            continue
        stream.setblocking(False)
        datagram.setblocking(False)
        return stream, datagram
    raise AssertionError("unreachable")
