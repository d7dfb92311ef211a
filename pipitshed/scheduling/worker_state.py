"""What a dispatcher knows of one worker. No rule stands here."""

from __future__ import annotations

import math

from pipitshed.scheduling.events import EndpointEntry


class Worker:
    """One worker of the endpoint list, and what this dispatcher has seen of it."""

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
        self.ready = False
        self.in_flight_count = 0  # own attempts there
        self.unstarted_count = 0  # own attempts there that have not started
        self.reserved_slots = 0.0  # taken by own jobs that started, by all where no starts are reported
        self.ejected_until_ms = 0.0  # as it had no capacity, or asked for the pause
        self.error_ejected_until_ms = 0.0  # as it failed jobs
        self.consecutive_rejections = 0
        self.error_count = 0  # goes up with each error and down with each job served
        self.ms_per_work_unit = 0.0  # 0 while unknown
        self.ms_per_work_unit_at_ms = -math.inf
        self.idle_connection_count = 0  # own open connections that are not in use
        self.idle_connection_at_ms = -math.inf  # when the last of them became idle

    def selection_fields(self) -> tuple[object, ...]:
        """The fields of the endpoint list on which the weights of the draw depend."""
        return self.ready, self.weight, self.job_classes, self.interface, self.planned_weights
