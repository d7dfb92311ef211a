"""Runs one scenario against a scheduler process and checks the rules."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from benchmarks.soak import pressure
from benchmarks.soak.drawing import LONGEST_DEADLINE_S, Fault, Pause, Pressure, Reload, Scenario
from benchmarks.soak.rules import Records, Violation, find_violations
from pipitshed.server.descriptors import DescriptorBudget
from pipitshed.testbed.clients import ClientRequest, GearmanClients, HttpClients, draw_request
from pipitshed.testbed.fleet.standins import PlannerFleet
from pipitshed.testbed.planner import Behaviour
from pipitshed.testbed.program import RunningScheduler, scheduler

DETECTION_S = 0.3  # after the start: the scheduler detects the interfaces that discovery does not list
KILL_MARGIN_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this
LATE_ANSWER_WAIT_S = 0.7  # a client waits this long past its deadline, to record a late answer
HOLDUP_CHECK_INTERVAL_S = 0.01
DISTURBED_S = 0.1  # a run is disturbed if the stand-ins were delayed by more
RECENT_REQUESTS = 2000  # the latest requests; older ones have ended
SLOW_FACTOR, HANG_FACTOR = 8.0, 500.0


@dataclass(slots=True)
class Result:
    """Outcome of one run; the JSON report has these fields."""

    seed: int
    requests: int
    outcomes: dict[str, int]
    worst_holdup_s: float  # of the stand-ins
    broken: list[Violation]
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def disturbed(self) -> bool:
        """Whether the stand-ins themselves were delayed, so that the run does not count as passed."""
        return self.worst_holdup_s > DISTURBED_S

    @property
    def verdict(self) -> str:
        """`broken`, `disturbed` or `passed`; timed rules are ignored in a disturbed run."""
        if any(not violation.timed or not self.disturbed for violation in self.broken):
            return "broken"
        return "disturbed" if self.disturbed else "passed"


class _ScenarioRunner:
    """Sends one scenario's requests, faults and signals, and records what the clients saw."""

    def __init__(self, scenario: Scenario, fleet: PlannerFleet, running: RunningScheduler) -> None:
        self.scenario, self.fleet, self.running = scenario, fleet, running
        self.requests: list[ClientRequest] = []
        self.pauses: list[tuple[float, float]] = []
        self.sigterm_at = float("inf")
        self.worst_holdup_s = 0.0
        self._rng = random.Random(f"traffic:{scenario.seed}")
        self._http, self._gearman = HttpClients(running.http), GearmanClients(running.gearman)
        budget = DescriptorBudget(scenario.sockets)
        self._connection_limits = {"http": budget.max_http_clients(), "gearman": budget.max_gearman_peers()}
        self._pressing_connections = Counter[str]()
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._fault_lock = asyncio.Lock()
        self._started_at = monotonic()

    async def run(self) -> None:
        """Run the scenario until the scheduler process has ended or was killed."""
        self._started_at = monotonic()
        events: list[tuple[float, Callable[[], Awaitable[None]]]] = [
            *((event.at_s, lambda event=event: self._inject_fault(event)) for event in self.scenario.faults),
            *((event.at_s, lambda event=event: self._pause(event)) for event in self.scenario.pauses),
            *((event.at_s, lambda event=event: self._reload(event)) for event in self.scenario.reloads),
            *((event.at_s, lambda event=event: self._press(event)) for event in self.scenario.pressures),
        ]
        holdup_task = asyncio.create_task(self._measure_holdups())
        idle_clients = [
            await asyncio.open_connection("127.0.0.1", self.running.http)
            for _ in range(self.scenario.idle_client_count)
        ]
        event_tasks = [asyncio.create_task(self._run_at(at, action)) for at, action in events]
        shutdown_task = asyncio.create_task(self._shut_down())
        await self._send_requests()
        self.killed = await shutdown_task
        await asyncio.gather(*self._request_tasks)
        holdup_task.cancel()
        for task in event_tasks:
            task.cancel()
        await asyncio.gather(*event_tasks, return_exceptions=True)
        for _, writer in idle_clients:
            writer.transport.abort()
        self._http.close()
        self._gearman.close()

    async def _run_at(self, at: float, action: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(max(0.0, self._started_at + at - monotonic()))
        await action()

    async def _measure_holdups(self) -> None:
        """Record the longest delay of this process's event loop, which delays the stand-ins as well."""
        while True:
            due = monotonic() + HOLDUP_CHECK_INTERVAL_S
            await asyncio.sleep(HOLDUP_CHECK_INTERVAL_S)
            self.worst_holdup_s = max(self.worst_holdup_s, monotonic() - due)

    # ---- clients

    async def _send_requests(self) -> None:
        """Send requests at the scenario's rate until the scheduler process has ended.

        After SIGTERM there is a gap, so that the next request may cross the close of an idle connection.
        """
        number = 0
        while self.running.process.returncode is None:
            wait_s = self._started_at + number / self.scenario.request_rate_per_s - monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if monotonic() < self.sigterm_at + LONGEST_DEADLINE_S:
                self._send_request(number)
            number += 1

    def _send_request(self, number: int) -> None:
        scenario = self.scenario
        request = draw_request(
            self._rng,
            f"{number:06d}",
            scenario.client_mix,
            scenario.cancel_fraction,
            0.0,
            scenario.book_fraction,
        )
        deadline_s = next(each.deadline_s for each in scenario.classes if each.name == request.job_class)
        is_http = request.kind.startswith("http")
        request.timeout = self._rng.uniform(0.3, deadline_s) if is_http else deadline_s
        request.slack = LATE_ANSWER_WAIT_S
        still_idle_s = [
            at for at in scenario.idle_until_s if self.sigterm_at < monotonic() < self.sigterm_at + at
        ]
        if monotonic() > self.sigterm_at and len(still_idle_s) == len(scenario.idle_until_s):
            return  # the gap after SIGTERM in which open connections are idle
        clients = "http" if is_http else "gearman"
        if self._open_request_count(clients) >= self._connection_limits[clients]:
            return  # the scheduler refuses further connections without reading them
        self.requests.append(request)
        task = asyncio.create_task((self._http if is_http else self._gearman).send(request))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    def _open_request_count(self, clients: str) -> int:
        """Number of open requests, and other connections, of these clients (`http` or `gearman`)."""
        return self._pressing_connections[clients] + sum(
            request.kind.startswith(clients) and not request.ended
            for request in self.requests[-RECENT_REQUESTS:]
        )

    # ---- faults and signals

    async def _inject_fault(self, fault: Fault) -> None:
        fleet = self.fleet
        async with self._fault_lock:  # one fault at a time
            member = fleet.members[fault.worker]
            if fault.kind == "roll":
                await fleet.roll(member, member.interface)
            elif fault.kind == "goaway":
                await fleet.roll(member, member.interface, goaway_only=member.interface == 2)
            elif fault.kind == "crash":
                await fleet.crash(member, fault.duration_s)
            elif fault.kind == "cut":
                member.forwarder.cut()
            elif fault.kind == "discovery":
                await fleet.discovery.stop_responding(fault.duration_s)
            else:
                fleet.behaviour.slowdown = HANG_FACTOR if fault.kind == "hang" else SLOW_FACTOR
                await asyncio.sleep(fault.duration_s)
                fleet.behaviour.slowdown = 1.0

    def _signal(self, number: signal.Signals) -> None:
        if self.running.process.returncode is None:
            self.running.process.send_signal(number)

    async def _pause(self, pause: Pause) -> None:
        paused_at = monotonic()
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(pause.duration_s)
        self._signal(signal.SIGCONT)
        self.pauses.append((paused_at, monotonic()))

    async def _reload(self, reload: Reload) -> None:
        if reload.reorder_tenants:
            config = json.loads(self.running.config.read_text())
            config["settings"]["tenants"].reverse()
            self.running.config.write_text(json.dumps(config))
        self._signal(signal.SIGHUP)

    async def _press(self, event: Pressure) -> None:
        clients = "gearman" if event.kind in pressure.GEARMAN_KINDS else "http"
        self._pressing_connections[clients] += event.connection_count
        await pressure.apply(event, self.running.http, self.running.gearman)
        self._pressing_connections[clients] -= event.connection_count

    async def _shut_down(self) -> bool:
        """Send SIGTERM, and SIGKILL after the longest deadline; return whether SIGKILL was needed."""
        await asyncio.sleep(self.scenario.traffic_s)
        self.sigterm_at = monotonic()
        self._signal(signal.SIGTERM)
        if self.scenario.second_sigterm_delay_s is not None:
            await asyncio.sleep(self.scenario.second_sigterm_delay_s)
            self._signal(signal.SIGTERM)
        remaining_s = self.sigterm_at + LONGEST_DEADLINE_S + KILL_MARGIN_S - monotonic()
        try:
            await asyncio.wait_for(self.running.process.wait(), remaining_s)
        except TimeoutError:
            self.running.process.kill()
            await self.running.process.wait()
            return True
        return False


def _adjust(scenario: Scenario, config: dict[str, Any]) -> None:
    """Set the scenario's limits and job classes in the configuration."""
    config["limits"] |= {"memory_mb": scenario.memory_mb, "sockets": scenario.sockets}
    config["settings"]["services"] = [job_class.settings() for job_class in scenario.classes]


async def run(scenario: Scenario) -> Result:
    """Run the scenario once and check the rules."""
    fleet = PlannerFleet(
        Behaviour(slots=scenario.slots_per_worker, fail=scenario.failing_job_fraction), scenario.seed
    )
    await fleet.start(
        list(scenario.worker_interfaces), [index % 2 == 0 for index in range(len(scenario.worker_interfaces))]
    )
    peak_mb = 0.0
    try:
        async with scheduler(
            fleet.discovery.port, adjust=lambda config: _adjust(scenario, config)
        ) as running:
            await asyncio.sleep(DETECTION_S)
            runner = _ScenarioRunner(scenario, fleet, running)

            async def watch_memory() -> None:
                nonlocal peak_mb
                while running.process.returncode is None:
                    peak_mb = max(peak_mb, running.peak_mb())
                    await asyncio.sleep(0.2)

            memory_task = asyncio.create_task(watch_memory())
            await runner.run()
            memory_task.cancel()
        exit_code = running.process.returncode
    finally:
        await fleet.close()
    records = Records(
        runner.requests,
        fleet.record.runs,
        fleet.members,
        runner.pauses,
        runner.sigterm_at,
        runner.killed,
        -1 if exit_code is None else exit_code,
        running.log,
        peak_mb,
        float(scenario.memory_mb),
    )
    outcomes: dict[str, int] = {}
    for request in runner.requests:
        outcomes[request.outcome] = outcomes.get(request.outcome, 0) + 1
    broken = find_violations(records, scenario.classes)
    figures = {
        "peak_mb": round(peak_mb, 1),
        "stops": len(runner.pauses),
        "reloads": len(scenario.reloads),
        "pressures": [event.kind for event in scenario.pressures],
    }
    return Result(scenario.seed, len(runner.requests), outcomes, runner.worst_holdup_s, broken, figures)
