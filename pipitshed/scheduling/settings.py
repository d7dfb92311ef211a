"""The settings of a dispatcher, given at its start and replaced by a reload.

Times are in milliseconds. Classes, tenants, zones and worker kinds are identified by their index.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class Idempotency(enum.Enum):
    """Whether a job may be run twice: always, only under one idempotency key, or never."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(enum.Enum):
    """The workers among which a retry of a job with an idempotency key is recognised as a duplicate."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WeightKind(enum.Enum):
    """What the weights in the endpoint list stand for."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs; `worker_kind` is the only kind of worker that runs it, or None for all kinds."""

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    latency_objective_per_work: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0
    stream: bool = False
    worker_kind: int | None = None
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's relative share of the traffic, and its quota in jobs/s over all dispatchers; 0 for none."""

    quota_share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantNumbers:
    """The number of each tenant, which is its index in the settings."""

    by_name: Mapping[str, int]
    unknown: int  # the number of all tenants that the settings do not list; they have no quota

    def number(self, name: str) -> int:
        """The number of the tenant with this name, or `unknown`."""
        return self.by_name.get(name, self.unknown)


@dataclass(frozen=True, slots=True)
class Costs:
    """What each event costs, as a fraction of the value of a request."""

    cross_zone_cost: float = 0.0
    wasted_work_cost: float = 0.0
    probe_cost: float = 0.0
    connection_cost: float = 0.0
    handshake_cost: float = 0.0
    late_failure_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits the dispatcher to do, and the limits of attempts and connections."""

    may_cancel: bool = False
    may_probe: bool = False
    parallel_attempts: bool = False
    clients_honour_retry_after: bool = False
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    """The times and factors of the guarantees on deadlines, draining, slow start and polling."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_ms: float = 0.0
    initial_capacity_fraction: float = 1.0
    overload_multiple: float = 0.0  # of its capacity by then, what a worker in slow start bears; 0 if untold
    overload_window_ms: float = 1000.0
    poll_deadline_ms: float = 10000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a dispatcher.

    Attributes:
        dropped_classes: The numbers of classes of earlier settings; only jobs in progress have them.
    """

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    costs: Costs = field(default_factory=Costs)
    limits: Limits = field(default_factory=Limits)
    guarantees: Guarantees = field(default_factory=Guarantees)
    weight_kind: WeightKind = WeightKind.NONE
    own_zone: int = 0
    zone_count: int = 1
    scheduler_count: int = 1
    tick_ms: float = 1.0
    endpoints_polled: bool = False
    endpoints_pushed: bool = False  # set on sockets only: updates come over an open watch, without delay
    workers_report_start: bool = False
    progress_interval_ms: float = 0.0
    report_fields: tuple[str, ...] = ()
    weight_by_work: bool = False
    dropped_classes: frozenset[int] = frozenset()

    def classes_in_force(self) -> list[JobClass]:
        """The classes that new jobs may have."""
        return [cls for number, cls in enumerate(self.classes) if number not in self.dropped_classes]
