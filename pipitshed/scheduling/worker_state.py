"""The state that a dispatcher keeps of one worker; the rules are in other modules."""

from __future__ import annotations

import math
from dataclasses import dataclass

from pipitshed.scheduling.events import EndpointEntry


@dataclass(slots=True)
class TokenBucket:
    """Tokens for jobs that a worker in slow start may get; below 0 where it got more."""

    tokens: float
    updated_at_ms: float
    denied_at_ms: float = -math.inf  # when a job last had to wait for a token


class Worker:
    """A worker of the endpoint list, and what this dispatcher has observed about it."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "kind",
        "weight",
        "job_classes",
        "interface",
        "planned_weights",
        "started_at_ms",
        "slow_start_bucket",
        "ready",
        "in_flight_count",
        "unstarted_count",
        "reserved_slots",
        "ejected_until_ms",
        "error_ejected_until_ms",
        "consecutive_rejections",
        "error_count",
        "ms_per_work_unit",
        "ms_per_work_unit_at_ms",
        "idle_connection_count",
        "idle_connection_at_ms",
    )

    def __init__(self, entry: EndpointEntry) -> None:
        self.id = entry.worker
        self.zone = entry.zone
        self.cell = entry.cell
        self.kind = entry.worker_kind
        self.weight = entry.weight
        self.job_classes = entry.job_classes
        self.interface = entry.interface
        self.planned_weights = entry.planned_weights
        self.started_at_ms = 0.0
        self.slow_start_bucket: TokenBucket | None = None  # None until a job could go to it in slow start
        self.ready = False
        self.in_flight_count = 0  # this dispatcher's attempts at the worker
        self.unstarted_count = 0  # those of them that have not started
        self.reserved_slots = 0.0  # slots of started attempts; of all, where starts are not reported
        self.ejected_until_ms = 0.0  # ejection for lack of capacity, or requested by the worker
        self.error_ejected_until_ms = 0.0  # ejection because the worker failed jobs
        self.consecutive_rejections = 0
        self.error_count = 0  # increases with each error, decreases with each served job
        self.ms_per_work_unit = 0.0  # 0 while unknown
        self.ms_per_work_unit_at_ms = -math.inf
        self.idle_connection_count = 0  # open connections of this dispatcher that are not in use
        self.idle_connection_at_ms = -math.inf  # when a connection last became idle

    @property
    def running_count(self) -> int:
        """This dispatcher's started attempts at the worker; all, where starts are not reported."""
        return self.in_flight_count - self.unstarted_count

    def selection_fields(self) -> tuple[object, ...]:
        """The fields from the endpoint list that determine the selection weights."""
        return self.ready, self.kind, self.weight, self.job_classes, self.interface, self.planned_weights
