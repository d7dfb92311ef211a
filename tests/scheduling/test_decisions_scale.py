"""The work of the decisions by the size of the fleet, in rows touched, and draws from pools that change."""

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
from pipitshed.scheduling.weighted_pools import Pools, Sums


@pytest.fixture
def touched(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Rows touched: weights summed, and workers weighed."""
    rows: Counter[str] = Counter()

    def summed(weights: list[float]) -> accumulate[float]:
        rows["summed"] += len(weights)
        return accumulate(weights)

    weigh = Pools._weighed

    def weighed(self, key, member):  # type: ignore[no-untyped-def]
        rows["weighed"] += 1
        return weigh(self, key, member)

    monkeypatch.setattr(pools, "accumulate", summed)
    monkeypatch.setattr(Pools, "_weighed", weighed)
    return rows


def scheduler_of(planners: int) -> Scheduler:
    scheduler = Scheduler(planners)
    for _ in range(20 * CLASSES):
        scheduler.job()
    return scheduler


def test_a_change_touches_at_most_twice_the_rows_at_4600_planners(touched: Counter[str]) -> None:
    rows = {}
    for planners in (200, 4600):
        scheduler = scheduler_of(planners)
        touched.clear()
        for _ in range(200):
            scheduler.replace()
        rows[planners] = touched.copy()
    assert rows[4600]["summed"] <= 2 * rows[200]["summed"], rows
    assert rows[4600]["weighed"] <= 1.2 * rows[200]["weighed"], rows


def test_a_lost_zone_in_one_piece_of_news_is_one_change_to_the_pools(touched: Counter[str]) -> None:
    scheduler = scheduler_of(4600)
    lost = [removed_entry(entry) for entry in scheduler.entries if entry.zone == ZONES - 1]
    touched.clear()
    scheduler.update_list(UpdateKind.DELTA, lost)
    assert not touched  # nothing is due before the next draw
    for _ in range(20 * CLASSES):
        scheduler.job()
    assert len(lost) == 657 and touched["weighed"] == CLASSES * len(lost)
    assert touched["summed"] <= CLASSES * 2 * 4800


def test_what_changes_nothing_touches_no_row(touched: Counter[str]) -> None:
    scheduler = scheduler_of(200)
    touched.clear()
    scheduler.update_list(UpdateKind.CACHED, scheduler.entries)
    scheduler.dispatcher.apply_settings(scheduler.dispatcher.settings)
    for _ in range(20 * CLASSES):
        scheduler.job()
    assert not touched


def test_a_job_of_one_tenant_reads_no_other() -> None:
    read: list[int] = []

    class Rows(list[object]):
        def __iter__(self) -> Iterator[object]:
            read.append(len(self))
            return super().__iter__()

    tenants = Rows(Tenant(1.0, 0.5) for _ in range(380))
    dispatcher = Dispatcher(Settings(classes=(JobClass(300.0, 5000.0),), tenants=tenants), 1)
    admission = dispatcher.admission
    admission.tenant_counts = Rows(admission.tenant_counts)
    read.clear()
    for job in range(20):
        dispatcher.handle(1000.0, [JobSubmitted(job, 4000.0, tenant=job % 3)])
    assert not read and admission.tenant_counts[0].count == 7 and admission.all_tenants_count.count == 20


def test_pools_that_are_not_drawn_from_are_dropped() -> None:
    scheduler = scheduler_of(200)
    for _ in range(120):
        scheduler.jobs = 0  # the next job is again of class 1
        scheduler.replace()
    assert {key[0] for key in scheduler.dispatcher.endpoints.pools._groups[None].pools} == {1, 2}


class Part:
    """In place of chance: one given part of the total."""

    def __init__(self, part: float) -> None:
        self.part = part

    def random(self) -> float:
        return self.part


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
def test_pools_after_changes_are_those_made_anew(steps: list[tuple[int, object, bool]], block: int) -> None:
    weights: dict[int, object] = {}
    known: set[int] = set()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pools, "BLOCK_SIZE", block)
        made = Pools[int](lambda member, key: weights[member], 3)
        for member, told, drawn in steps:
            if told == "remove":
                if member in known:
                    known.discard(member)
                    made.remove(member)
            else:
                weights[member] = told
                if member not in known:
                    known.add(member)
                    made.add(member, (None, member % 3))
                made.change(member)
            for tag in (None, 0, 1, 2) if drawn else ():
                mine = {one: weights[one] for one in known if weights[one] and tag in (None, one % 3)}
                ways = [{one: way[place] for one, way in mine.items() if way[place]} for place in range(3)]
                naive = next((way for way in ways if way), {})
                pool, total = made.get(tag, ()), sum(naive.values())
                assert (pool.total if pool else 0) == total
                got = Counter(pool.draw(Part((n + 0.5) / total)) for n in range(total)) if pool else {}
                assert got == naive


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.sampled_from((0.0, 0.0, 0.1, 0.3, 0.7, 1e-9, 7.7)), min_size=1, max_size=40))
def test_rounding_draws_none_without_weight(weights: list[float]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pools, "BLOCK_SIZE", 2)
        sums = Sums(list(weights))
        total = sums.total()
        edges = [edge / total for edge in accumulate(weights) if total]
        for edge in edges:
            for part in (edge, math.nextafter(edge, 0), math.nextafter(edge, 1)):
                assert weights[sums.place_at(min(part, math.nextafter(1, 0)))] > 0


def test_draws_follow_the_weights() -> None:
    rng, weights = random.Random(7), {number: 1.0 + number % 5 for number in range(200)}
    made = Pools[int](lambda member, key: (weights[member],), 1)
    for number in range(200):
        made.add(number, (None,))
    for number in range(0, 200, 7):
        assert made.get(None, 0)
        weights[number] *= 3
        made.change(number)
    pool = made.get(None, 0)
    assert pool is not None
    drawn = Counter(pool.draw(rng) for _ in range(100_000))
    expected = {number: 100_000 * weight / pool.total for number, weight in weights.items()}
    chi = sum((drawn[number] - mean) ** 2 / mean for number, mean in expected.items())
    assert chi < 267  # 199 degrees of freedom: 0.999 of all fair draws are below
