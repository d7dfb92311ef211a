"""Experiments: a file describes planners, clients and faults, which are run against a live scheduler."""

from __future__ import annotations

import asyncio
import random
import resource
import tomllib
from collections.abc import Callable
from time import monotonic
from typing import Literal

import msgspec

from pipitshed.testbed.accounts import account
from pipitshed.testbed.clients import KINDS, ClientRequest, GearmanClients, HttpClients, draw_request
from pipitshed.testbed.fleet.standins import ZONES, PlannerFleet
from pipitshed.testbed.planner import Behaviour
from pipitshed.testbed.program import RunningScheduler, scheduler

PLAN_RAMP_S = 9.0  # s in which the scheduler ramps up a placement plan
DETECTION_TIME_S = 0.3  # s before the traffic, in which the scheduler detects unlisted interfaces


class FleetFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """The planners; `tells` is the share whose discovery rows have their interface."""

    planners: int = 6
    interface: Literal["1", "2", "mixed"] = "1"
    tells: float = 0.5
    slots: int = 16
    queue: int = 64
    fail: float = 0.0
    quote_ms: tuple[float, float] = (10.0, 40.0)
    book_ms: tuple[float, float] = (30.0, 90.0)
    speeds: tuple[float, ...] = ()  # factor for each planner; 1: the working times as given
    weights: tuple[float, ...] = ()  # for each planner, as discovery lists them


class ClientsFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """The traffic, open loop: requests are sent at a fixed rate, whether or not others have ended."""

    requests: int = 20_000
    short_requests: int = 3_000
    rate: float = 300.0  # requests per second
    mix: dict[str, float] = msgspec.field(default_factory=lambda: {"http-v1": 1.0})
    book: float = 0.4  # share of the requests with class `book`
    cancel: float = 0.0  # share whose client closes its connection early
    unfit: float = 0.0  # share of version 1 requests with a field that interface 2 can't express
    wanted_ms: dict[str, float] = msgspec.field(default_factory=lambda: {"quote": 250.0, "book": 1000.0})


class Trouble(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """One fault; `at` is a fraction of the traffic's duration."""

    at: float
    do: Literal["roll", "goaway", "crash", "cut", "slow"]
    planner: int = 0  # number from 1; 0: chosen at random
    interface: int = 2  # of a rolled planner after its restart
    seconds: float = 1.0  # duration of the outage or slowness
    factor: float = 8.0  # on the working time, where `do` is `slow`


class Arm(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """One of the variants that are compared."""

    name: str
    weights: tuple[float, ...] = ()  # for each planner, as discovery lists them
    solved: bool = False  # the scheduler follows a placement plan solved for fleet and traffic


class Experiment(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """An experiment file."""

    name: str
    seed: int = 1
    fleet: FleetFile = msgspec.field(default_factory=FleetFile)
    clients: ClientsFile = msgspec.field(default_factory=ClientsFile)
    troubles: list[Trouble] = []
    arms: list[Arm] = []


class ExperimentError(ValueError):
    """The experiment file is invalid; the message says why."""


def read(text: str) -> Experiment:
    """Parse and check an experiment file; raises ExperimentError."""
    try:
        experiment = msgspec.convert(tomllib.loads(text), Experiment)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ExperimentError(str(error)) from None
    if unknown := set(experiment.clients.mix) - set(KINDS):
        raise ExperimentError(f"clients.mix: unknown kinds of clients: {', '.join(sorted(unknown))}")
    per_planner = (
        experiment.fleet.weights,
        experiment.fleet.speeds,
        *(arm.weights for arm in experiment.arms),
    )
    for weights in per_planner:
        if weights and len(weights) != experiment.fleet.planners:
            raise ExperimentError(
                f"weights and speeds must have {experiment.fleet.planners} values, one for each planner"
            )
    for trouble in experiment.troubles:
        if not 0 <= trouble.planner <= experiment.fleet.planners:
            raise ExperimentError(f"troubles: there is no planner {trouble.planner}")
    return experiment


def initial_interfaces(fleet: FleetFile) -> list[int]:
    """The interface of each planner at the start; a mixed fleet has both interfaces in each zone."""
    if fleet.interface != "mixed":
        return [int(fleet.interface)] * fleet.planners
    return [1 + place // 2 % 2 for place in range(fleet.planners)]


async def run_experiment(
    experiment: Experiment,
    request_count: int,
    seed: int,
    progress: Callable[[int], None] = lambda done: None,
    arm: Arm | None = None,
) -> dict[str, object]:
    """Run an experiment once; return the account, with the scheduler's CPU and memory use."""
    rng = random.Random(seed)
    shape, traffic = experiment.fleet, experiment.clients
    work = {"quote": shape.quote_ms, "book": shape.book_ms}
    behaviour = Behaviour(shape.slots, shape.queue, work, shape.fail)
    fleet = PlannerFleet(behaviour, seed)
    # In pairs over the two zones, so that each zone has planners with a listed interface and others without.
    tells = [(place // 2 + 1) / max(1, shape.planners // 2) <= shape.tells for place in range(shape.planners)]
    weights = arm.weights if arm is not None and arm.weights else shape.weights
    await fleet.start(initial_interfaces(shape), tells, shape.speeds, weights)
    plan = b""
    if arm is not None and arm.solved:
        from pipitshed.testbed.arms import solved  # the solver is an optional dependency

        plan = solved(experiment, fleet)
    requests: list[ClientRequest] = []
    try:
        async with scheduler(fleet.discovery.port, plan=plan) as running:
            await asyncio.sleep(PLAN_RAMP_S if plan else DETECTION_TIME_S)
            started, before = monotonic(), running.cpu()
            length = request_count / traffic.rate
            script = asyncio.create_task(_run_troubles(experiment, fleet, rng, length))
            await _traffic(running, traffic, request_count, rng, requests, progress)
            took = monotonic() - started
            await script
            cpu = running.cpu()
            memory = running.peak_mb()
    finally:
        await fleet.close()
    figures = account(requests, fleet.record.runs, fleet.members)
    for name, wanted in traffic.wanted_ms.items():
        answered = [
            request for request in requests if request.job_class == name and request.outcome != "withdrawn"
        ]
        in_time = sum(
            request.outcome == "served" and (request.ended - request.sent) * 1000 <= wanted
            for request in answered
        )
        figures[f"in_time_{name}"] = round(in_time / len(answered), 4) if answered else 1.0
    figures["worst_use"] = round(
        max(member.planner.busy_seconds / took / shape.slots for member in fleet.members), 4
    )
    ran = [run for run in fleet.record.runs if run.outcome != "returned"]
    figures["crossings"] = round(sum(run.zone != ZONES[0] for run in ran) / max(1, len(ran)), 4)
    times = sorted(request.ended - request.sent for request in requests if request.outcome == "served")
    figures |= {
        "experiment": experiment.name,
        "seed": seed,
        "seconds": round(took, 2),
        "scheduler_cpu_us_per_request": round((cpu - before) / max(1, len(requests)) * 1e6, 1),
        "scheduler_peak_mb": round(memory, 1),
        "served_ms": {
            f"p{part}": round(times[min(len(times) - 1, len(times) * part // 100)] * 1000, 1)
            for part in (50, 90, 99)
        }
        if times
        else {},
        "log": [line for line in running.log if not line.startswith("INFO")][:20],
        "tally": next((line for line in running.log if "ended:" in line), ""),
    }
    return figures


async def _traffic(
    running: RunningScheduler,
    traffic: ClientsFile,
    request_count: int,
    rng: random.Random,
    requests: list[ClientRequest],
    progress: Callable[[int], None],
) -> None:
    http, gearman = HttpClients(running.http), GearmanClients(running.gearman)
    tasks: set[asyncio.Task[None]] = set()
    started = monotonic()
    for number in range(request_count):
        wait = started + number / traffic.rate - monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        request = draw_request(rng, f"{number:06d}", traffic.mix, traffic.cancel, traffic.unfit, traffic.book)
        requests.append(request)
        clients = http if request.kind.startswith("http") else gearman
        task = asyncio.create_task(clients.send(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        if number % 100 == 99:
            progress(number + 1)
    await asyncio.gather(*tasks)
    progress(request_count)
    http.close()
    gearman.close()


async def _run_troubles(
    experiment: Experiment, fleet: PlannerFleet, rng: random.Random, length: float
) -> None:
    started = monotonic()
    tasks = []
    for trouble in sorted(experiment.troubles, key=lambda trouble: trouble.at):
        await asyncio.sleep(max(0.0, started + trouble.at * length - monotonic()))
        tasks.append(asyncio.create_task(_inject(trouble, fleet, rng)))
    await asyncio.gather(*tasks)


async def _inject(trouble: Trouble, fleet: PlannerFleet, rng: random.Random) -> None:
    member = fleet.members[trouble.planner - 1 if trouble.planner else rng.randrange(len(fleet.members))]
    while member.lifecycle != "ready":
        await asyncio.sleep(0.05)  # one fault at a time on a planner
    if trouble.do == "roll":
        await fleet.roll(member, trouble.interface)
    elif trouble.do == "goaway":
        await fleet.roll(member, trouble.interface, goaway_only=member.interface == 2)
    elif trouble.do == "crash":
        await fleet.crash(member, trouble.seconds)
    elif trouble.do == "cut":
        member.forwarder.cut()
    else:
        fleet.behaviour.slowdown = trouble.factor
        await asyncio.sleep(trouble.seconds)
        fleet.behaviour.slowdown = 1.0


def raise_descriptor_limit(wanted: int = 8192) -> None:
    """Raise the soft limit of open files: stand-ins, forwarders and clients all run in this process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, hard), hard))
