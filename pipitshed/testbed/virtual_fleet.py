"""A fleet over regions and zones in virtual time; each message is encoded, counted and decoded."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

from pipitshed.cluster.codec import DATAGRAM_LIMIT_BYTES, Codec
from pipitshed.membership.members import Address, MemberState
from pipitshed.membership.messages import Message
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.testbed.virtual_network import Network, Node

ZONES = ("norte/1", "norte/2", "norte/3", "centro/1", "centro/2", "sur/1", "sur/2")
WITHIN_ZONE, WITHIN_REGION, BETWEEN_REGIONS = 0.0005, 0.001, 0.040  # s, one way
JITTER = 0.1  # upper bound of the random extra delay, as a share of the delay
DATAGRAM_HEADER_BYTES = 28  # bytes of IP and UDP
SEEDS = (0, 3, 5)  # one in each region
SETTINGS = "settings"  # name of the replicated table


def region(zone: str) -> str:
    """The region of a zone: the part of its name before the slash."""
    return zone.partition("/")[0]


@dataclass(slots=True)
class TrafficCounter:
    """Bytes of one scheduler in one direction: in total, and in the whole second with the most."""

    bytes: int = 0
    peak: int = 0
    _second: int = -1
    _bytes_this_second: int = 0

    def add(self, now: float, size: int) -> None:
        """Count `size` bytes at the time `now` (s)."""
        self.bytes += size
        if int(now) != self._second:
            self._second, self._bytes_this_second = int(now), 0
        self._bytes_this_second += size
        self.peak = max(self.peak, self._bytes_this_second)


class VirtualFleet(Network):
    """Schedulers in seven zones of three regions, with delays by distance."""

    def __init__(self, seed: int, loss: float = 0.0, scales: ProtocolTimings | None = None) -> None:
        super().__init__(seed, scales, loss, tables=(SETTINGS,), zones=ZONES)
        self.codec = Codec("fleet")
        self.seeds: list[int] = []
        self.out: dict[Address, TrafficCounter] = {}
        self.into: dict[Address, TrafficCounter] = {}
        self.busy = 0.0  # s of this process spent in the schedulers' protocol code
        self.oversized = 0  # messages longer than a datagram, which are dropped before the network

    def zone(self, address: Address) -> str:
        """The zone of the scheduler at an address, whether it runs or not."""
        return self.zone_of(address[1] - self.first_port)

    def fleet(self, size: int) -> list[Node]:
        """Start `size` schedulers at the same time; they join through one seed in each region."""
        self.seeds = [seed for seed in SEEDS if seed < size]
        return [self.start(number, self.seeds) for number in range(size)]

    def reset_counts(self) -> None:
        """Reset all traffic counters."""
        self.out, self.into, self.busy, self.oversized = {}, {}, 0.0, 0
        self.sent.clear()
        self.bytes_out.clear()

    def kill_zone(self, zone: str) -> None:
        """Kill all schedulers of a zone without notice."""
        for node in list(self.nodes.values()):
            if self.zone(node.address) == zone:
                self.kill(node)

    def isolate_region(self, lost: str) -> None:
        """Cut one region off from the others, in both directions."""
        self.cut = lambda source, target: (
            (region(self.zone(source)) == lost) != (region(self.zone(target)) == lost)
        )

    def heal(self) -> None:
        """Remove all cuts."""
        self.cut = lambda source, target: False

    def views_agree(self) -> bool:
        """Whether every view has exactly the running schedulers as alive. Compares the views' digests."""
        views = [node.membership.view for node in self.nodes.values()]
        return (
            len({view.digest() for view in views}) == 1
            and [(member.name, member.address) for member in views[0].live_members()]
            == self.running_members()
            and all(member.state is not MemberState.SUSPECT for view in views for member in view)
        )

    def tables_agree(self) -> bool:
        """Whether all schedulers have the same settings table, and each table counts as caught up."""
        return len({node.tables[0].digest() for node in self.nodes.values()}) == 1 and all(
            node.tables[0].caught_up for node in self.nodes.values()
        )

    def converged(self) -> bool:
        """Whether all views are correct and all settings tables agree."""
        return self.tables_agree() and self.views_agree()

    def quiescent(self) -> bool:
        """Whether the fleet has converged and no scheduler has anything left to send."""
        return self.converged() and not any(
            len(queue) for node in self.nodes.values() for queue in node.membership.replicator.queues
        )

    def run_until(self, holds: Callable[[], bool], within: float, step: float) -> float | None:
        """Run until a condition holds, checked each `step` s; return the seconds, None after `within` s."""
        started = self.now
        for step_count in itertools.count():
            if holds():
                return step_count * step
            if self.now - started >= within:
                return None
            self.run(step)
        raise AssertionError("unreachable")

    # ---- implementation

    def _deliver(self, node: Node, message: Message | None, source: Address) -> None:
        started = time.perf_counter()
        super()._deliver(node, message, source)
        self.busy += time.perf_counter() - started

    def _one_way_delay(self, source: Address, target: Address) -> float:
        source_zone, target_zone = self.zone(source), self.zone(target)
        delay = (
            WITHIN_ZONE
            if source_zone == target_zone
            else (WITHIN_REGION if region(source_zone) == region(target_zone) else BETWEEN_REGIONS)
        )
        return delay * (1.0 + self.rng.random() * JITTER)

    def _add(self, counted: dict[Address, TrafficCounter], address: Address, size: int) -> None:
        if (second := counted.get(address)) is None:
            second = counted[address] = TrafficCounter()
        second.add(self.now, size)

    def _send(self, node: Node, to: Address, message: Message) -> None:
        data = self.codec.encode(message)
        self.sent[node.name] += 1
        if len(data) > DATAGRAM_LIMIT_BYTES:
            self.oversized += 1
            return
        size = len(data) + DATAGRAM_HEADER_BYTES
        self._add(self.out, node.address, size)
        if self.cut(node.address, to) or self.rng.random() < self.loss or to not in self.nodes:
            return
        self._add(self.into, to, size)
        # Decodes the message for each receiver, so that no two schedulers share records in memory.
        self._post(
            self._one_way_delay(node.address, to), node.address, to, cast(Message, self.codec.decode(data))
        )


def peak_bytes_per_second(counters: Iterable[TrafficCounter]) -> int:
    """The most bytes that any of these counters had in one second."""
    return max((counter.peak for counter in counters), default=0)
