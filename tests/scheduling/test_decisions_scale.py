"""The cost of decisions by the number of workers, in rows accessed, and draws from changing pools."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.capacity.decisions import CLASSES, ZONES, Scheduler, removed_entry
from pipitshed.scheduling import weighted_pools as pools
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import JobSubmitted, UpdateKind
from pipitshed.scheduling.settings import JobClass, Settings, Tenant
from pipitshed.scheduling.weighted_pools import Pools, PrefixSums


@pytest.fixture
def row_accesses(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Counts the rows accessed: weights that are summed, and workers whose weights are read."""
    rows: Counter[str] = Counter()

    def counting_accumulate(weights: list[float]) -> accumulate[float]:
        rows["summed"] += len(weights)
        return accumulate(weights)

    weights_or_zeros = Pools._weights_or_zeros

    def counting_weights_or_zeros(self, key, member):  # type: ignore[no-untyped-def]
        rows["weighed"] += 1
        return weights_or_zeros(self, key, member)

    monkeypatch.setattr(pools, "accumulate", counting_accumulate)
    monkeypatch.setattr(Pools, "_weights_or_zeros", counting_weights_or_zeros)
    return rows


def warmed_up_scheduler(workers: int) -> Scheduler:
    scheduler = Scheduler(workers)
    for _ in range(20 * CLASSES):
        scheduler.job()
    return scheduler


def test_a_change_accesses_at_most_twice_the_rows_with_4600_workers(row_accesses: Counter[str]) -> None:
    rows = {}
    for workers in (200, 4600):
        scheduler = warmed_up_scheduler(workers)
        row_accesses.clear()
        for _ in range(200):
            scheduler.replace()
        rows[workers] = row_accesses.copy()
    assert rows[4600]["summed"] <= 2 * rows[200]["summed"], rows
    assert rows[4600]["weighed"] <= 1.2 * rows[200]["weighed"], rows


def test_a_lost_zone_in_one_update_is_one_change_to_the_pools(row_accesses: Counter[str]) -> None:
    scheduler = warmed_up_scheduler(4600)
    lost = [removed_entry(entry) for entry in scheduler.entries if entry.zone == ZONES - 1]
    row_accesses.clear()
    scheduler.update_list(UpdateKind.DELTA, lost)
    assert not row_accesses  # pools are updated at the next draw
    for _ in range(20 * CLASSES):
        scheduler.job()
    assert len(lost) == 657 and row_accesses["weighed"] == CLASSES * len(lost)
    assert row_accesses["summed"] <= CLASSES * 2 * 4800


def test_an_update_without_changes_accesses_no_row(row_accesses: Counter[str]) -> None:
    scheduler = warmed_up_scheduler(200)
    row_accesses.clear()
    scheduler.update_list(UpdateKind.CACHED, scheduler.entries)
    scheduler.dispatcher.apply_settings(scheduler.dispatcher.settings)
    for _ in range(20 * CLASSES):
        scheduler.job()
    assert not row_accesses


def test_a_job_does_not_read_all_tenants() -> None:
    read_lengths: list[int] = []

    class CountingList(list[object]):
        def __iter__(self) -> Iterator[object]:
            read_lengths.append(len(self))
            return super().__iter__()

    tenants = CountingList(Tenant(1.0, 0.5) for _ in range(380))
    dispatcher = Dispatcher(Settings(classes=(JobClass(300.0, 5000.0),), tenants=tenants), 1)
    admission = dispatcher.admission
    admission.tenant_counts = CountingList(admission.tenant_counts)
    read_lengths.clear()
    for job in range(20):
        dispatcher.handle(1000.0, [JobSubmitted(job, 4000.0, tenant=job % 3)])
    assert (
        not read_lengths and admission.tenant_counts[0].count == 7 and admission.all_tenants_count.count == 20
    )


def test_unused_pools_are_removed() -> None:
    scheduler = warmed_up_scheduler(200)
    for _ in range(120):
        scheduler.jobs = 0  # the next job is of class 1 again
        scheduler.replace()
    assert {key[0] for key in scheduler.dispatcher.endpoints.pools._groups[None].pools} == {1, 2}


class FixedFraction:
    """A random number generator that returns one given number."""

    def __init__(self, fraction: float) -> None:
        self.fraction = fraction

    def random(self) -> float:
        return self.fraction


STEPS = st.lists(
    st.tuples(
        st.integers(0, 11),
        st.one_of(st.just("remove"), st.none(), st.tuples(st.integers(0, 2), st.integers(0, 3), st.just(1))),
        st.booleans(),
    ),
    max_size=60,
)


@settings(derandomize=True, database=None, deadline=None)
@given(STEPS, st.sampled_from((2, 3, 32)))
def test_changed_pools_equal_rebuilt_pools(steps: list[tuple[int, object, bool]], block_size: int) -> None:
    weights: dict[int, object] = {}
    members: set[int] = set()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pools, "BLOCK_SIZE", block_size)
        pools_under_test = Pools[int](lambda member, key: weights[member], 3)
        for member, change, draws in steps:
            if change == "remove":
                if member in members:
                    members.discard(member)
                    pools_under_test.remove(member)
            else:
                weights[member] = change
                if member not in members:
                    members.add(member)
                    pools_under_test.add(member, (None, member % 3))
                pools_under_test.change(member)
            for tag in (None, 0, 1, 2) if draws else ():
                tagged = {
                    number: weights[number]
                    for number in members
                    if weights[number] and tag in (None, number % 3)
                }
                candidates = [
                    {number: row[kind] for number, row in tagged.items() if row[kind]} for kind in range(3)
                ]
                expected = next((row for row in candidates if row), {})
                pool, total = pools_under_test.get(tag, ()), sum(expected.values())
                assert (pool.total if pool else 0) == total
                drawn_members = (
                    Counter(pool.draw(FixedFraction((n + 0.5) / total)) for n in range(total)) if pool else {}
                )
                assert drawn_members == expected


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.sampled_from((0.0, 0.0, 0.1, 0.3, 0.7, 1e-9, 7.7)), min_size=1, max_size=40))
def test_rounding_draws_no_member_without_weight(weights: list[float]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pools, "BLOCK_SIZE", 2)
        sums = PrefixSums(list(weights))
        total = sums.total()
        edges = [edge / total for edge in accumulate(weights) if total]
        for edge in edges:
            for fraction in (edge, math.nextafter(edge, 0), math.nextafter(edge, 1)):
                assert weights[sums.index_at(min(fraction, math.nextafter(1, 0)))] > 0


def test_draws_follow_the_weights() -> None:
    rng, weights = random.Random(7), {number: 1.0 + number % 5 for number in range(200)}
    pools_under_test = Pools[int](lambda member, key: (weights[member],), 1)
    for number in range(200):
        pools_under_test.add(number, (None,))
    for number in range(0, 200, 7):
        assert pools_under_test.get(None, 0)
        weights[number] *= 3
        pools_under_test.change(number)
    pool = pools_under_test.get(None, 0)
    assert pool is not None
    draws = Counter(pool.draw(rng) for _ in range(100_000))
    expected = {number: 100_000 * weight / pool.total for number, weight in weights.items()}
    chi_squared = sum((draws[number] - mean) ** 2 / mean for number, mean in expected.items())
    assert chi_squared < 267  # 0.999 quantile for 199 degrees of freedom
