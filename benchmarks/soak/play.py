"""Plays one drawn play against a live program."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from benchmarks.soak.drawing import LONGEST_DEADLINE_S, Play, Reload, Stop, Trouble
from benchmarks.soak.rules import Break, Records, breaks
from pipitshed.server.descriptors import DescriptorBudget
from pipitshed.testbed.clients import ClientRequest, GearmanClients, HttpClients, draw_request
from pipitshed.testbed.fleet.standins import PlannerFleet
from pipitshed.testbed.planner import Behaviour
from pipitshed.testbed.program import RunningScheduler, scheduler

SETTLE_S = 0.3  # after the start: interfaces that nobody tells are found out
KILL_MARGIN_S = 0.7  # beside the longest deadline, after which SIGKILL comes
LISTEN_ON_S = 0.7  # for which a client listens beyond its patience, to see a late answer
LOOK_EVERY_S = 0.01
DISTURBED_S = 0.1  # a hold-up of the stand-ins from which a play counts as disturbed
RECENT_REQUESTS = 2000  # of which some may be under way
SLOW_FACTOR, HANG_FACTOR = 8.0, 500.0


@dataclass(slots=True)
class Result:
    """What came of a play."""

    seed: int
    requests: int
    outcomes: dict[str, int]
    worst_holdup_s: float  # of the stand-ins
    broken: list[Break]
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def disturbed(self) -> bool:
        """Whether the stand-ins themselves were held up, so that nothing passed is shown."""
        return self.worst_holdup_s > DISTURBED_S

    @property
    def verdict(self) -> str:
        """`broken`, `disturbed` or `passed`; what depends on time breaks nothing in a disturbed play."""
        if any(not one.timed or not self.disturbed for one in self.broken):
            return "broken"
        return "disturbed" if self.disturbed else "passed"


class _Player:
    """One play under way."""

    def __init__(self, play: Play, fleet: PlannerFleet, running: RunningScheduler) -> None:
        self.play, self.fleet, self.running = play, fleet, running
        self.asked: list[ClientRequest] = []
        self.stops: list[tuple[float, float]] = []
        self.sigterm_at = float("inf")
        self.worst_holdup_s = 0.0
        self._rng = random.Random(f"traffic:{play.seed}")
        self._http, self._gearman = HttpClients(running.http), GearmanClients(running.gearman)
        budget = DescriptorBudget(play.sockets)
        self._connection_limits = {"http": budget.http_client_count, "gearman": budget.gearman_peer_count}
        self._asking: set[asyncio.Task[None]] = set()
        self._troubles = asyncio.Lock()
        self._began = monotonic()

    async def run(self) -> None:
        """Play it until the program has ended, or was killed."""
        self._began = monotonic()
        steps: list[tuple[float, Callable[[], Awaitable[None]]]] = [
            *((one.at, lambda one=one: self._trouble(one)) for one in self.play.troubles),
            *((one.at, lambda one=one: self._stop(one)) for one in self.play.stops),
            *((one.at, lambda one=one: self._reload(one)) for one in self.play.reloads),
        ]
        looking = asyncio.create_task(self._look())
        crowd = [
            await asyncio.open_connection("127.0.0.1", self.running.http) for _ in range(self.play.crowd)
        ]
        script = [asyncio.create_task(self._at(at, step)) for at, step in steps]
        ending = asyncio.create_task(self._end())
        await self._traffic()
        self.killed = await ending
        await asyncio.gather(*self._asking)
        looking.cancel()
        for task in script:
            task.cancel()
        await asyncio.gather(*script, return_exceptions=True)
        for _, writer in crowd:
            writer.transport.abort()
        self._http.close()
        self._gearman.close()

    async def _at(self, at: float, step: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(max(0.0, self._began + at - monotonic()))
        await step()

    async def _look(self) -> None:
        """Measure how long this process, and so the stand-ins, were held up."""
        while True:
            due = monotonic() + LOOK_EVERY_S
            await asyncio.sleep(LOOK_EVERY_S)
            self.worst_holdup_s = max(self.worst_holdup_s, monotonic() - due)

    # ---- clients

    async def _traffic(self) -> None:
        """Requests at their rate until the program has ended; some rest, to cross what closes them."""
        number = 0
        while self.running.process.returncode is None:
            wait_s = self._began + number / self.play.rate - monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if monotonic() < self.sigterm_at + LONGEST_DEADLINE_S:
                self._ask(number)
            number += 1

    def _ask(self, number: int) -> None:
        play = self.play
        one = draw_request(self._rng, f"{number:06d}", play.mix, play.cancel, 0.0, play.book)
        deadline_s = next(each.deadline_s for each in play.classes if each.name == one.job_class)
        is_http = one.kind.startswith("http")
        one.timeout = self._rng.uniform(0.3, deadline_s) if is_http else deadline_s
        one.slack = LISTEN_ON_S
        resting_s = [at for at in play.resting if self.sigterm_at < monotonic() < self.sigterm_at + at]
        if monotonic() > self.sigterm_at and len(resting_s) == len(play.resting):
            return  # nobody asks for a while, so that kept connections rest
        clients = "http" if is_http else "gearman"
        if self._busy(clients) >= self._connection_limits[clients]:
            return  # the door turns further connections away, unread
        self.asked.append(one)
        task = asyncio.create_task((self._http if is_http else self._gearman).send(one))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    def _busy(self, clients: str) -> int:
        """How many requests of these clients are under way."""
        return sum(one.kind.startswith(clients) and not one.ended for one in self.asked[-RECENT_REQUESTS:])

    # ---- troubles and signals

    async def _trouble(self, trouble: Trouble) -> None:
        fleet = self.fleet
        async with self._troubles:  # one at a time
            member = fleet.members[trouble.worker]
            if trouble.kind == "roll":
                await fleet.roll(member, member.interface)
            elif trouble.kind == "goaway":
                await fleet.roll(member, member.interface, goaway_only=member.interface == 2)
            elif trouble.kind == "crash":
                await fleet.crash(member, trouble.lasts)
            elif trouble.kind == "cut":
                member.forwarder.cut()
            elif trouble.kind == "discovery":
                await fleet.discovery.stop_responding(trouble.lasts)
            else:
                fleet.behaviour.slowdown = HANG_FACTOR if trouble.kind == "hang" else SLOW_FACTOR
                await asyncio.sleep(trouble.lasts)
                fleet.behaviour.slowdown = 1.0

    def _signal(self, number: signal.Signals) -> None:
        if self.running.process.returncode is None:
            self.running.process.send_signal(number)

    async def _stop(self, stop: Stop) -> None:
        begin = monotonic()
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(stop.lasts)
        self._signal(signal.SIGCONT)
        self.stops.append((begin, monotonic()))

    async def _reload(self, reload: Reload) -> None:
        if reload.reorder:
            made = json.loads(self.running.config.read_text())
            made["settings"]["tenants"].reverse()
            self.running.config.write_text(json.dumps(made))
        self._signal(signal.SIGHUP)

    async def _end(self) -> bool:
        """SIGTERM, and SIGKILL at the protocol's earliest; whether that was needed."""
        await asyncio.sleep(self.play.seconds)
        self.sigterm_at = monotonic()
        self._signal(signal.SIGTERM)
        if self.play.second_sigterm_after is not None:
            await asyncio.sleep(self.play.second_sigterm_after)
            self._signal(signal.SIGTERM)
        left_s = self.sigterm_at + LONGEST_DEADLINE_S + KILL_MARGIN_S - monotonic()
        try:
            await asyncio.wait_for(self.running.process.wait(), left_s)
        except TimeoutError:
            self.running.process.kill()
            await self.running.process.wait()
            return True
        return False


def _adjust(play: Play, made: dict[str, Any]) -> None:
    """Make the configuration the one of the play."""
    made["limits"] |= {"memory_mb": play.memory_mb, "sockets": play.sockets}
    made["settings"]["services"] = [job_class.settings() for job_class in play.classes]


async def run(play: Play) -> Result:
    """Play it once, and judge it."""
    fleet = PlannerFleet(Behaviour(slots=play.slots, fail=play.fail), play.seed)
    await fleet.start(list(play.interfaces), [place % 2 == 0 for place in range(len(play.interfaces))])
    peak_mb = 0.0
    try:
        async with scheduler(fleet.discovery.port, adjust=lambda made: _adjust(play, made)) as running:
            await asyncio.sleep(SETTLE_S)
            player = _Player(play, fleet, running)

            async def watch_memory() -> None:
                nonlocal peak_mb
                while running.process.returncode is None:
                    peak_mb = max(peak_mb, running.peak_mb())
                    await asyncio.sleep(0.2)

            watching = asyncio.create_task(watch_memory())
            await player.run()
            watching.cancel()
        exit_code = running.process.returncode
    finally:
        await fleet.close()
    records = Records(
        player.asked,
        fleet.record.runs,
        fleet.members,
        player.stops,
        player.sigterm_at,
        player.killed,
        -1 if exit_code is None else exit_code,
        running.log,
        peak_mb,
        float(play.memory_mb),
    )
    outcomes: dict[str, int] = {}
    for one in player.asked:
        outcomes[one.outcome] = outcomes.get(one.outcome, 0) + 1
    broken = breaks(records, play.classes)
    figures = {"peak_mb": round(peak_mb, 1), "stops": len(player.stops), "reloads": len(play.reloads)}
    return Result(play.seed, len(player.asked), outcomes, player.worst_holdup_s, broken, figures)
