"""The parameters of one soak run, drawn from its seed alone."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Literal, get_args

from pipitshed.testbed.clients import KINDS

LONGEST_DEADLINE_S = 3.0  # SIGKILL follows SIGTERM later than this, so no request in progress is cut short
RepeatKind = Literal["retryable", "dedup", "fragile"]
PressureKind = Literal[
    "half_bodies", "many_fields", "pipelines", "health_checks", "wrong_methods", "echoes", "background_jobs"
]
FaultKind = Literal["roll", "goaway", "crash", "cut", "slow", "hang", "discovery"]


@dataclass(frozen=True, slots=True)
class JobClassSpec:
    """A job class of the deployment, with its deadline and repeat rule."""

    name: str
    deadline_s: float
    repeat: RepeatKind
    scope: Literal["all", "zone"]

    def settings(self) -> dict[str, Any]:
        """The class as an entry of `services` in the platform's settings (times in ms)."""
        return {
            "name": self.name,
            "deadline": self.deadline_s * 1000,
            "goalTime": self.deadline_s * 300,
            "repeat": self.repeat,
            "keyScope": self.scope,
            "window": 25_000.0,
        }


@dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault of a worker or of discovery; `at_s` counts from the start of the traffic."""

    at_s: float
    kind: FaultKind
    worker: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """The scheduler process is stopped with SIGSTOP and resumed with SIGCONT."""

    at_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class Reload:
    """SIGHUP; before it the tenants are reversed in the configuration file if `reorder_tenants`."""

    at_s: float
    reorder_tenants: bool


@dataclass(frozen=True, slots=True)
class Pressure:
    """Peers that hold unfinished or unread messages, or send at full speed, for some time."""

    at_s: float
    kind: PressureKind
    connection_count: int
    duration_s: float
    reads: bool  # whether they read what they are sent


@dataclass(frozen=True, slots=True)
class Scenario:
    """All parameters of one soak run."""

    seed: int
    traffic_s: float  # before SIGTERM
    request_rate_per_s: float
    classes: tuple[JobClassSpec, ...]
    worker_interfaces: tuple[int, ...]  # 1: HTTP, 2: gRPC
    failing_job_fraction: float  # of all jobs
    slots_per_worker: int
    client_mix: dict[str, float]  # weight of each kind of client
    book_fraction: float  # requests of the class `book`
    cancel_fraction: float  # requests whose client disconnects early
    memory_mb: int
    sockets: int
    idle_client_count: int  # connected clients that send nothing
    faults: tuple[Fault, ...]
    pauses: tuple[Pause, ...]  # also after SIGTERM
    reloads: tuple[Reload, ...]
    second_sigterm_delay_s: float | None
    # Seconds after SIGTERM; no request is sent until the earliest of them, so that open connections are idle.
    idle_until_s: tuple[float, ...]
    pressures: tuple[Pressure, ...] = ()


def draw_scenario(seed: int, traffic_s: float) -> Scenario:
    """The scenario of a seed, with `traffic_s` seconds of traffic before SIGTERM."""
    rng = random.Random(f"soak:{seed}")
    classes = tuple(
        JobClassSpec(
            name,
            rng.choice((0.8, 1.5, LONGEST_DEADLINE_S)),
            rng.choice(("retryable", "dedup", "fragile")),
            rng.choice(("all", "zone")),
        )
        for name in ("quote", "book")
    )
    worker_count = rng.randint(2, 6)
    kinds = rng.sample(KINDS, rng.randint(1, len(KINDS)))
    pause_times_s = [rng.uniform(0.5, traffic_s + 2.5) for _ in range(rng.randint(2, 8))]
    reload_times_s = [rng.uniform(0.5, traffic_s + 1.0) for _ in range(rng.randint(1, 3))]
    has_idle_clients = rng.random() < 0.3
    return Scenario(
        seed,
        traffic_s,
        rng.choice((40.0, 80.0, 150.0)),
        classes,
        tuple(rng.choice((1, 1, 2)) for _ in range(worker_count)),
        rng.choice((0.0, 0.0, 0.05, 0.2)),
        rng.choice((2, 4, 16)),
        {kind: rng.uniform(0.2, 1.0) for kind in kinds},
        rng.uniform(0.2, 0.8),
        rng.choice((0.0, 0.05, 0.2)),
        rng.choice((64, 96, 192)),
        256 if has_idle_clients else 1024,
        rng.randint(100, 200) if has_idle_clients else 0,
        tuple(_draw_fault(rng, traffic_s, worker_count) for _ in range(rng.randint(1, 6))),
        tuple(Pause(at, rng.uniform(0.005, 0.15)) for at in sorted(pause_times_s)),
        tuple(
            Reload(at + index * rng.uniform(0.0, 0.03), rng.random() < 0.5)
            for at in sorted(reload_times_s)
            for index in range(rng.randint(1, 4))
        ),
        rng.choice((None, 0.0, 0.05, 1.0, 2.1)),
        tuple(rng.uniform(1.8, 2.6) for _ in range(12)),
        _draw_pressures(seed, traffic_s),
    )


def _draw_pressures(seed: int, traffic_s: float) -> tuple[Pressure, ...]:
    """Drawn apart from the rest, so that a seed keeps what it drew before there were pressures."""
    rng = random.Random(f"pressure:{seed}")
    return tuple(
        Pressure(
            rng.uniform(0.3, traffic_s),
            rng.choice(get_args(PressureKind)),
            rng.choice((1, 4, 30)),
            rng.uniform(0.5, 3.0),
            rng.random() < 0.7,
        )
        for _ in range(rng.randint(0, 3))
    )


def _draw_fault(rng: random.Random, traffic_s: float, worker_count: int) -> Fault:
    kind = rng.choice(("roll", "goaway", "crash", "cut", "cut", "slow", "hang", "discovery"))
    return Fault(rng.uniform(0.3, traffic_s), kind, rng.randrange(worker_count), rng.uniform(0.3, 2.0))
