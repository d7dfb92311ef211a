"""Worker selection: weighted random draws, from the local zone first.

Workers are drawn in proportion to capacity, the policy of the paper. A drawn worker that is ejected, slow, in
use or without an idle connection is passed over and another is drawn, a limited number of times.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection

from pipitshed.scheduling import slow_start
from pipitshed.scheduling.capacity_estimate import DEFAULT_WORKER_SLOTS, LoadEstimate, ServiceStatistics
from pipitshed.scheduling.endpoint_list import EndpointList, PoolKey
from pipitshed.scheduling.job_state import Job, Scope
from pipitshed.scheduling.outlier_ejection import is_ejected, is_slow
from pipitshed.scheduling.recent_counts import AttemptWindow
from pipitshed.scheduling.settings import Settings
from pipitshed.scheduling.slow_start_budget import SlowStartBudget, SlowStartWait
from pipitshed.scheduling.weighted_pools import Pool
from pipitshed.scheduling.worker_state import Worker
from pipitshed.scheduling.worker_throughput import WorkerThroughput

MAX_DRAWS = 16  # per selection; after them a passed-over worker is chosen
LOCAL_DRAWS = 2.0  # of these, the draws from the local zone only
LOCAL_DRAWS_PER_CROSS_ZONE_COST = 50.0  # additional local draws per unit of cross-zone cost
LOCAL_MAX_PROBABILITY_PER_CROSS_ZONE_COST = 9.0  # limit of the no-capacity probability for local draws
RESERVED_SLOTS_EXPONENT = 24.0  # prevents workers with few slots from filling up by chance
COSTLY_HANDSHAKE = 0.05  # handshake cost from which workers with an idle connection are preferred


class WorkerSelector:
    """Selects the worker for an attempt."""

    __slots__ = (
        "settings",
        "_endpoints",
        "_window",
        "_load",
        "_statistics",
        "_budget",
        "_throughput",
        "_rng",
    )

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointList,
        window: AttemptWindow,
        load: LoadEstimate,
        statistics: ServiceStatistics,
        budget: SlowStartBudget,
        throughput: WorkerThroughput,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._endpoints = endpoints
        self._window = window
        self._load = load
        self._statistics = statistics
        self._budget = budget
        self._throughput = throughput
        self._rng = rng

    def select(self, job: Job, scope: Scope, now_ms: float) -> Worker | SlowStartWait | None:
        """A worker of the scope for the job's next attempt; None where the scope has none.

        Where all workers that are drawn are in slow start, the job goes to one of them or waits, as their
        budgets permit.

        The order of preference: a worker that is not passed over and has an idle connection, one that is not
        passed over, and the best-ranked fallback where no attempt of the job is in flight.
        """
        key = (job.class_index, job.compatible_interfaces)
        pool = self._endpoints.pools.get(scope, key)
        if pool is None:
            return None
        local_pool = self._local_pool(scope, key, pool, now_ms)
        local_draws = LOCAL_DRAWS + LOCAL_DRAWS_PER_CROSS_ZONE_COST * self.settings.costs.cross_zone_cost
        slow_start_ms = self.settings.guarantees.slow_start_ms
        tried = {attempt.worker.id: attempt.in_flight for attempt in job.attempts}
        unconnected: Worker | None = None
        fallback: Worker | None = None
        turned_down: dict[Worker, None] = {}  # workers in slow start
        for draw in range(MAX_DRAWS):
            worker = (local_pool if local_pool and draw < local_draws else pool).draw(self._rng)
            if slow_start.is_warming_up(worker, slow_start_ms, now_ms):
                if draw or tried or not self._accepts_in_slow_start(worker, job, now_ms):
                    turned_down[worker] = None
                    continue
            elif not draw and job.latest_slow_start_ms is None:  # a random sample, but for a backlog
                self._throughput.record_running(worker.kind, worker.running_count)
            if worker.id not in tried and not self._is_passed_over(worker, job, now_ms):
                if self._has_connection(worker, now_ms):
                    return worker
                unconnected = unconnected or worker
            elif not tried.get(worker.id):
                fallback = self._better_fallback(fallback, worker, now_ms)
        return unconnected or self._select_last(job, fallback, turned_down, now_ms)

    def _select_last(
        self, job: Job, fallback: Worker | None, turned_down: Collection[Worker], now_ms: float
    ) -> Worker | SlowStartWait | None:
        """The worker for a job that no draw found one for; jobs that waited don't all go to one at once."""
        if fallback is None:
            return self._select_in_slow_start(job, turned_down, now_ms)
        if job.latest_slow_start_ms is not None and not self._budget.has_room(fallback):
            return SlowStartWait(math.inf, job.latest_slow_start_ms)
        return fallback

    def _better_fallback(self, first: Worker | None, second: Worker, now_ms: float) -> Worker:
        """The one of two passed-over workers with the better rank; the first among equals."""
        if first is None or self._fallback_rank(second, now_ms) < self._fallback_rank(first, now_ms):
            return second
        return first

    def _select_in_slow_start(
        self, job: Job, workers: Collection[Worker], now_ms: float
    ) -> Worker | SlowStartWait | None:
        """One of these workers in slow start whose budget permits a job, or when one will permit it.

        None where the settings give no budget, and for a further attempt beside one in flight.
        """
        if not workers or not self._budget.is_limited or job.attempts_in_flight():
            return None
        until_ms, latest_start_ms = math.inf, job.submitted_at_ms
        for worker in workers:
            latest_start_ms = max(latest_start_ms, self._budget.latest_start_ms(worker, job, now_ms))
            has_queue = self.settings.workers_report_start and worker.unstarted_count > 0
            if has_queue or is_ejected(worker, now_ms) or now_ms > latest_start_ms:
                continue
            ready_at_ms = self._budget.ready_at_ms(worker, job, now_ms)
            if ready_at_ms <= now_ms:
                return worker
            until_ms = min(until_ms, ready_at_ms)
        return SlowStartWait(until_ms, latest_start_ms)

    def _local_pool(
        self, scope: Scope, key: PoolKey, pool: Pool[Worker], now_ms: float
    ) -> Pool[Worker] | None:
        """The pool of the local zone; None where the local zone is not preferred.

        It is not preferred for a job with a scope, nor with a placement plan, whose weights already account
        for the cost of crossing zones.
        """
        settings = self.settings
        if scope is not None or settings.zone_count <= 1 or self._endpoints.planned_workers:
            return None
        max_probability = LOCAL_MAX_PROBABILITY_PER_CROSS_ZONE_COST * settings.costs.cross_zone_cost
        if (self._window.no_capacity_probability(now_ms) or 0.0) > max_probability:
            return None
        local_pool = self._endpoints.pools.get(("zone", settings.own_zone), key)
        if local_pool and self._rng.random() * pool.total > local_pool.total * settings.zone_count:
            return None  # a zone with few workers gets jobs only up to its part of the capacity
        return local_pool

    def _accepts_in_slow_start(self, worker: Worker, job: Job, now_ms: float) -> bool:
        is_accepted = slow_start.accepts(
            worker,
            job,
            self.settings.guarantees,
            self._statistics,
            self._window.rejected_fraction(),
            now_ms,
            self._rng,
        )
        return is_accepted and self._budget.permits(worker, job, now_ms)

    def _is_passed_over(self, worker: Worker, job: Job, now_ms: float) -> bool:
        """Whether the worker is passed over in this draw."""
        if is_ejected(worker, now_ms):
            return True
        mean_ms = self._statistics.ms_per_work_unit
        if is_slow(worker, mean_ms, now_ms) and self._rng.random() > mean_ms / worker.ms_per_work_unit:
            return True  # the jobs that it still gets show when it is fast again
        if self.settings.workers_report_start:
            return (
                worker.unstarted_count > 0
                or self._rng.random() * DEFAULT_WORKER_SLOTS < worker.reserved_slots * (job.slots + 1) / 2
            )
        # Current queue lengths are unknown, so only the slots that this dispatcher's jobs leave free count as
        # capacity.
        free_fraction = max(0.0, 1 - worker.reserved_slots / self._load.worker_slots(worker))
        return self._rng.random() > math.pow(free_fraction, RESERVED_SLOTS_EXPONENT)

    def _has_connection(self, worker: Worker, now_ms: float) -> bool:
        """Whether a dispatch uses an idle connection, or handshakes cost too little to matter."""
        return self.settings.costs.handshake_cost < COSTLY_HANDSHAKE or (
            worker.idle_connection_count > 0
            and now_ms - worker.idle_connection_at_ms < self.settings.limits.idle_timeout_ms
        )

    def _fallback_rank(self, worker: Worker, now_ms: float) -> tuple[bool, float]:
        """The order of passed-over workers: least load first, but workers ejected for errors last.

        A worker that fails jobs ends them immediately, so it always has the least load.
        """
        fails_jobs = worker.error_count > 0 and is_ejected(worker, now_ms)
        return fails_jobs, worker.reserved_slots / self._load.worker_slots(worker)
