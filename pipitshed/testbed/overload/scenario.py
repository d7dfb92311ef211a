"""The scenario file of an overload simulation."""

from __future__ import annotations

import tomllib
from typing import Literal

import msgspec

MAX_SCHEDULERS = 1_000
MAX_WORKERS = 1_000
MAX_JOBS = 1_000_000  # of a whole run; beyond it a run takes many minutes
COUNT_INTERVAL_S = 0.5  # events are counted by it, so that all spans are multiples of it
MS_PER_S = 1000


class ScenarioError(ValueError):
    """The scenario file is not valid; the text says where, in one line."""


class WorkersFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The workers, all alike."""

    count: int = 100
    slots: int = 2  # jobs that one worker runs at a time
    queue: int = 20  # jobs that wait at one worker; further ones are rejected
    work_ms: float = 300.0  # mean running time of a job
    work_deviation: float = 1.4  # standard deviation of the running time, as a fraction of its mean
    connections: int = 600  # open at one worker; further ones are refused
    handshake_ms: float = 2.0  # of the worker's time for each new connection, one after the other
    cancel_drops_queued: bool = True  # a cancelled job that waits is not run
    cancel_stops_running: bool = False
    hung: int = 0  # workers that take jobs and never start them, from the end of the first rest on


class ClientsFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """What clients send and expect."""

    schedulers: int = 200
    jobs_per_s: float = 4.0  # at each scheduler, at rest
    deadline_ms: float = 3000.0
    objective_ms: float = 250.0
    objective_per_work: float = 2.0  # added to the objective, in running times of the job
    resubmissions: int = 2  # by a client whose job was rejected
    resubmission_pause_ms: float = 50.0


class LoadFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The load over time: a rest, then for each step its duration and a rest."""

    steps: tuple[float, ...] = (1.25, 1.5, 2.0)  # factors on the load at rest
    step_s: float = 4.0
    first_rest_s: float = 10.0
    rest_s: float = 16.0  # after each step


class RulesFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """What the deployment allows, and what it charges, as fractions of a job's value."""

    parallel_attempts: bool = False
    max_attempts: int = 4
    connect_timeout_ms: float = 250.0
    idle_timeout_ms: float = 30_000.0
    network_delay_ms: float = 0.3  # one way
    handshake_cost: float = 0.06
    wasted_work_cost: float = 0.2
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"


class OverloadScenario(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """A whole scenario file."""

    name: str
    seed: int = 1
    workers: WorkersFile = WorkersFile()
    clients: ClientsFile = ClientsFile()
    load: LoadFile = LoadFile()
    rules: RulesFile = RulesFile()

    @property
    def capacity_per_s(self) -> float:
        """The jobs per second that all workers together can run."""
        return self.workers.count * self.workers.slots * MS_PER_S / self.workers.work_ms

    @property
    def jobs_per_s(self) -> float:
        """The jobs per second of all clients at rest."""
        return self.clients.schedulers * self.clients.jobs_per_s

    @property
    def duration_s(self) -> float:
        """The virtual time of a whole run."""
        return self.load.first_rest_s + len(self.load.steps) * (self.load.step_s + self.load.rest_s)

    def step_start_s(self, step: int) -> float:
        """The time at which a step begins."""
        return self.load.first_rest_s + step * (self.load.step_s + self.load.rest_s)

    def load_factor(self, time_s: float) -> float:
        """The load at this time, relative to the load at rest."""
        for step, factor in enumerate(self.load.steps):
            if 0 <= time_s - self.step_start_s(step) < self.load.step_s:
                return factor
        return 1.0


def read(text: str) -> OverloadScenario:
    """Parse and check a scenario file; raises ScenarioError."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), OverloadScenario)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(str(error)) from None
    for problem in _problems(scenario):
        raise ScenarioError(problem)
    return scenario


def _problems(scenario: OverloadScenario) -> list[str]:
    """What msgspec's types do not exclude, one line each."""
    workers, clients, load, rules = scenario.workers, scenario.clients, scenario.load, scenario.rules
    positive = {
        "workers.slots": workers.slots,
        "workers.work-ms": workers.work_ms,
        "workers.work-deviation": workers.work_deviation,
        "workers.connections": workers.connections,
        "clients.jobs-per-s": clients.jobs_per_s,
        "clients.deadline-ms": clients.deadline_ms,
        "clients.objective-ms": clients.objective_ms,
        "load.step-s": load.step_s,
        "load.first-rest-s": load.first_rest_s,
        "load.rest-s": load.rest_s,
        "rules.max-attempts": rules.max_attempts,
        "rules.connect-timeout-ms": rules.connect_timeout_ms,
        "rules.idle-timeout-ms": rules.idle_timeout_ms,
    }
    not_negative = {
        "workers.queue": workers.queue,
        "workers.handshake-ms": workers.handshake_ms,
        "clients.objective-per-work": clients.objective_per_work,
        "clients.resubmissions": clients.resubmissions,
        "clients.resubmission-pause-ms": clients.resubmission_pause_ms,
        "rules.network-delay-ms": rules.network_delay_ms,
        "rules.handshake-cost": rules.handshake_cost,
        "rules.wasted-work-cost": rules.wasted_work_cost,
    }
    problems = [f"{name} must be more than 0" for name, value in positive.items() if not value > 0]
    problems += [f"{name} must not be negative" for name, value in not_negative.items() if not value >= 0]
    if not 1 <= workers.count <= MAX_WORKERS:
        problems.append(f"workers.count must be 1 to {MAX_WORKERS}")
    if not 0 <= workers.hung <= workers.count:
        problems.append("workers.hung must be 0 to workers.count")
    if not 1 <= clients.schedulers <= MAX_SCHEDULERS:
        problems.append(f"clients.schedulers must be 1 to {MAX_SCHEDULERS}")
    if not load.steps or not all(factor > 0 for factor in load.steps):
        problems.append("load.steps must have factors of more than 0")
    if not problems and not _expected_jobs(scenario) <= MAX_JOBS:
        problems.append(f"the scenario has over {MAX_JOBS} jobs")
    if not problems:
        spans = {
            "load.first-rest-s": load.first_rest_s,
            "load.step-s": load.step_s,
            "load.rest-s": load.rest_s,
        }
        problems += [
            f"{name} must be a multiple of {COUNT_INTERVAL_S}"
            for name, value in spans.items()
            if value % COUNT_INTERVAL_S
        ]
    return problems


def _expected_jobs(scenario: OverloadScenario) -> float:
    extra = sum(factor - 1 for factor in scenario.load.steps) * scenario.load.step_s
    return scenario.jobs_per_s * (scenario.duration_s + extra)
