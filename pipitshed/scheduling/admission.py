"""Admission control: near saturation new jobs are shed, first those over quota or of low value per work."""

from __future__ import annotations

import random

from pipitshed.scheduling import retry_policy
from pipitshed.scheduling.actions import AnswerReason
from pipitshed.scheduling.capacity_estimate import BUSY_PROBABILITY, LoadEstimate, ServiceStatistics
from pipitshed.scheduling.job_state import Job
from pipitshed.scheduling.recent_counts import AttemptWindow, DecayingCount
from pipitshed.scheduling.settings import Settings

SATURATION_THRESHOLD = 0.9  # saturation above which new jobs are shed
LOW_VALUE_THRESHOLD = 0.7  # saturation from which some jobs of low value are shed
LOW_RELATIVE_VALUE = 0.75  # a job's value is low below this multiple of the mean job's value per work
REJECTION_WEIGHT = 0.35  # extra weight of rejected attempts in the saturation: they took no place in a queue
PROBE_FRACTION = 0.05  # of jobs above the threshold, admitted so that the estimate can recover
UNEVEN_TRAFFIC_FACTOR = 1.25  # traffic of a tenant up to its quota share times this may be uneven by chance
TENANT_TRAFFIC_TIME_CONSTANT_MS = 2000.0  # of the decaying counts of tenants' jobs


class AdmissionControl:
    """Decides whether a new job is admitted or shed."""

    __slots__ = (
        "tenant_counts",
        "all_tenants_count",
        "_settings",
        "_quota_share_sum",
        "_min_priority_weight",
        "_window",
        "_load",
        "_statistics",
        "_rng",
    )

    def __init__(
        self,
        settings: Settings,
        window: AttemptWindow,
        load: LoadEstimate,
        statistics: ServiceStatistics,
        rng: random.Random,
    ) -> None:
        self._window = window
        self._load = load
        self._statistics = statistics
        self._rng = rng
        self.tenant_counts: list[DecayingCount] = []  # by tenant index
        self.all_tenants_count = DecayingCount(TENANT_TRAFFIC_TIME_CONSTANT_MS)  # of tenants with a quota
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; each tenant keeps its count, which is stored at the tenant's index."""
        self._settings = settings
        new_counts = (DecayingCount(TENANT_TRAFFIC_TIME_CONSTANT_MS) for _ in settings.tenants)
        self.tenant_counts = [*self.tenant_counts, *new_counts][: len(settings.tenants)]
        self._quota_share_sum = sum(tenant.quota_share for tenant in settings.tenants) or 1.0
        self._min_priority_weight = min(cls.priority_weight for cls in settings.classes_in_force()) or 1.0

    def rejection_reason(self, job: Job, tenant: int, now_ms: float) -> AnswerReason | None:
        """The reason for which a new job is shed; None where it is admitted.

        Sets the job's allowed failure probability, which depends on its class and its tenant's quota.
        """
        over_quota = self._is_over_quota(tenant, now_ms)
        job.allowed_failure_probability = (
            retry_policy.ALLOWED_FAILURE_PROBABILITY
            if over_quota
            else retry_policy.allowed_failure_probability(
                job.job_class.priority_weight, self._min_priority_weight
            )
        )
        probability = self._window.no_capacity_probability(now_ms)
        if probability is None:
            return None
        threshold = BUSY_PROBABILITY if over_quota else SATURATION_THRESHOLD
        low_value = self._relative_value(job) < LOW_RELATIVE_VALUE
        if low_value:
            # The closer the load is to saturation, the more of the low-value jobs are shed.
            threshold = min(threshold, self._rng.uniform(LOW_VALUE_THRESHOLD, SATURATION_THRESHOLD))
        saturation = probability + REJECTION_WEIGHT * self._window.rejected_fraction()
        if saturation <= threshold or self._rng.random() < PROBE_FRACTION:
            return None
        if over_quota:
            return AnswerReason.OVER_QUOTA
        return AnswerReason.LOW_VALUE if low_value else AnswerReason.SATURATED

    def _relative_value(self, job: Job) -> float:
        return self._statistics.relative_value(job, self._settings.weight_by_work)

    def _is_over_quota(self, tenant: int, now_ms: float) -> bool:
        """Whether this job counts as excess of a tenant that sends more than its quota.

        The limit is this dispatcher's part of the quota. Without load reports that part is taken as equal for
        all dispatchers, which is wrong for uneven traffic. Then a tenant is over its quota only if its part
        of this dispatcher's traffic is also larger than its quota share.
        """
        tenants = self._settings.tenants
        if tenant >= len(tenants) or not tenants[tenant].quota_per_s:
            return False
        own_count = self.tenant_counts[tenant].add(now_ms)
        all_tenants = self.all_tenants_count.add(now_ms)
        quota = tenants[tenant]
        allowed_count = (
            quota.quota_per_s / 1000 * TENANT_TRAFFIC_TIME_CONSTANT_MS * self._load.own_load_fraction()
        )
        even_share_count = UNEVEN_TRAFFIC_FACTOR * quota.quota_share / self._quota_share_sum * all_tenants
        if not self._load.total_slots and own_count <= even_share_count:
            return False
        return own_count > max(1.0, allowed_count) and self._rng.random() > allowed_count / own_count
