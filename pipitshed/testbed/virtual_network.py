"""Runs the membership code on a simulated network in virtual time; the same seed gives the same events."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from pipitshed.membership.instructions import (
    Instruction,
    MemberStateChanged,
    Reinstated,
    RowsChanged,
    SendMessage,
    Superseded,
)
from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import Message
from pipitshed.membership.protocol import Membership
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.replication.messages import message_size
from pipitshed.replication.row import Row
from pipitshed.replication.row_table import RowTable

ZONES = ("one", "two", "three")
ENVELOPE_BYTES = 22  # bytes that the cluster's codec adds to a message, with a cluster name of usual length


@dataclass
class Node:
    """One scheduler process of the simulated network."""

    name: str
    address: Address
    membership: Membership
    tables: tuple[RowTable, ...] = ()
    timer_id: int = -1  # of the timer event that is valid; earlier ones are ignored
    stalled_until: float = 0.0  # its event loop is blocked until then; messages wait in `backlog`
    backlog: list[tuple[Message, Address]] = field(default_factory=list)


class Network:
    """Nodes, the messages in flight between them, and the cuts between them. Times are seconds."""

    first_port = 10_000

    def __init__(
        self,
        seed: int,
        scales: ProtocolTimings | None = None,
        loss: float = 0.0,
        delay: tuple[float, float] = (0.0005, 0.010),
        tables: tuple[str, ...] = (),
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        """`tables` are the names of the replicated tables that each process has."""
        self.rng = random.Random(seed)
        self.scales = scales or ProtocolTimings()
        self.loss, self.delay = loss, delay
        self.tables, self.zones = tables, zones
        self.now = 0.0
        self.nodes: dict[Address, Node] = {}
        self.timers_first = False  # whether a loop that was blocked runs its timers before it reads messages
        self.cut: Callable[[Address, Address], bool] = lambda source, target: False
        self.state_changes: list[tuple[float, str, MemberStateChanged]] = []
        self.row_changes: list[tuple[float, str, Row]] = []
        self.displaced: list[str] = []
        self.reinstated: list[str] = []
        self.sent: Counter[str] = Counter()
        self.bytes_out: Counter[tuple[str, int]] = Counter()  # by node name and whole second
        self._events: list[tuple[float, int, Address, int, Message | None, Address]] = []
        self._order = count()
        self._log = hashlib.blake2b(digest_size=16)

    # ---- the calls of a test

    def start(self, number: int, seeds: Sequence[int], clock: float = 0.0, name: str = "") -> Node:
        """Start a process at address `number`; `clock` is the error of its own clock."""
        address = ("127.0.0.1", self.first_port + number)
        incarnation = int((1_000_000 + self.now + clock) * 1000)
        name = name or f"n{number}"
        me = MemberRecord(
            name, *address, self.zone_of(number), incarnation, self.rng.randrange(2**32), reported_by=name
        )
        tables = tuple(RowTable(table) for table in self.tables)
        membership = Membership(
            me,
            self.scales,
            [("127.0.0.1", self.first_port + seed) for seed in seeds],
            random.Random(self.rng.randrange(2**62)),
            self.now,
            tables,
        )
        node = self.nodes[address] = Node(name, address, membership, tables)
        self._wake(node)
        return node

    def zone_of(self, number: int) -> str:
        """The zone of the scheduler at address `number`."""
        return self.zones[number % len(self.zones)]

    def fleet(self, size: int) -> list[Node]:
        """Start `size` processes at the same time; they join through the first two."""
        return [self.start(number, [0, 1]) for number in range(size)]

    def kill(self, node: Node) -> None:
        """End a process without notice."""
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def leave(self, node: Node) -> None:
        """Let a process announce that it leaves, and end it."""
        self._execute(node, node.membership.leave(self.now))
        self.kill(node)

    def put(self, node: Node, *rows: tuple[str, bytes], table: int = 0) -> None:
        """Put rows into one of a node's tables, and send them to the others."""
        put = [node.tables[table].put(key, body, node.name) for key, body in rows]
        self._execute(node, node.membership.disseminate(self.now, node.tables[table].name, put))
        self._wake(node)

    def stall(self, node: Node, seconds: float) -> None:
        """Block a node's event loop for some seconds: the kernel buffers messages, none is read or sent."""
        node.stalled_until = self.now + seconds
        self._wake(node)

    def run(self, seconds: float) -> None:
        """Advance the time and process all events that are due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            when, _, address, timer_id, message, source = heappop(self._events)
            self.now = max(self.now, when)
            node = self.nodes.get(address)
            if node is None or (message is None and node.timer_id != timer_id):
                continue
            if self.now < node.stalled_until:
                if message is not None:
                    node.backlog.append((message, source))
                continue
            self._deliver(node, message, source)
        self.now = until

    def settle(self, within: float, step: float = 0.1) -> float | None:
        """Run until every view is correct; return the seconds, or None if this takes more than `within`."""
        started = self.now
        while self.now - started <= within:
            if self.agreed():
                return self.now - started
            self.run(step)
        return None

    def agreed(self) -> bool:
        """Whether every running node has exactly the running nodes in its view, all as alive."""
        expected = self.running_members()
        return all(
            [(member.name, member.address) for member in node.membership.view.live_members()] == expected
            and all(member.state is MemberState.ALIVE for member in node.membership.view.live_members())
            for node in self.nodes.values()
        )

    def running_members(self) -> list[tuple[str, Address]]:
        """Names and addresses of the running nodes, sorted by name."""
        return sorted((node.name, node.address) for node in self.nodes.values())

    def false_deaths(self) -> int:
        """Number of changes to DEAD that nodes have reported; all are false where no node was killed."""
        return sum(change.record.state is MemberState.DEAD for _, _, change in self.state_changes)

    @property
    def log_hash(self) -> str:
        """Hash of all state changes: the same for the same seed and calls."""
        return self._log.hexdigest()

    # ---- implementation

    def _deliver(self, node: Node, message: Message | None, source: Address) -> None:
        membership = node.membership
        if self.timers_first and node.backlog and membership.next_due_at() <= self.now:
            self._execute(node, membership.handle_timeouts(self.now))
        backlog, node.backlog = node.backlog, []
        for earlier, came_from in backlog:
            self._execute(node, membership.handle_message(self.now, earlier, came_from))
        if message is not None:
            self._execute(node, membership.handle_message(self.now, message, source))
        else:
            if membership.next_due_at() <= self.now:
                self._execute(node, membership.handle_timeouts(self.now))
            self._wake(node)

    def _wake(self, node: Node) -> None:
        """Schedule the node's next timer event, which replaces the earlier one."""
        node.timer_id = next(self._order)
        when = max(node.membership.next_due_at(), self.now, node.stalled_until)
        heappush(self._events, (when, node.timer_id, node.address, node.timer_id, None, node.address))

    def _execute(self, node: Node, effects: list[Instruction]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(node, effect.to, effect.message)
            elif isinstance(effect, MemberStateChanged):
                self.state_changes.append((self.now, node.name, effect))
                line = f"{self.now:.6f} {node.name} {effect.record.name} {effect.record.state}\n"
                self._log.update(line.encode())
            elif isinstance(effect, RowsChanged):
                self.row_changes += [(self.now, node.name, row) for row in effect.rows]
            elif isinstance(effect, Superseded):
                self.displaced.append(node.name)
            elif isinstance(effect, Reinstated):
                self.reinstated.append(node.name)

    def _send(self, node: Node, to: Address, message: Message) -> None:
        self.sent[node.name] += 1
        self.bytes_out[node.name, int(self.now)] += message_size(message) + ENVELOPE_BYTES
        if self.cut(node.address, to) or self.rng.random() < self.loss:
            return
        self._post(self.rng.uniform(*self.delay), node.address, to, message)

    def _post(self, delay: float, source: Address, to: Address, message: Message) -> None:
        """Deliver a message after a delay (s)."""
        heappush(self._events, (self.now + delay, next(self._order), to, 0, message, source))
