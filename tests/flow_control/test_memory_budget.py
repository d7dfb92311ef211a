"""The memory budget: priorities, stalled messages and waiting senders."""

from __future__ import annotations

from pipitshed.flow_control import MemoryBudget, Priority
from pipitshed.flow_control.memory_budget import (
    BASE_MEMORY_MB,
    BUDGET_FRACTION,
    BYTES_PER_MB,
    STALLED_AFTER_S,
)

MEMORY_MB = 80


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def make_budget() -> tuple[MemoryBudget, Clock]:
    clock = Clock()
    return MemoryBudget(MEMORY_MB, clock), clock


def test_the_budget_follows_the_memory_limit() -> None:
    budget, _ = make_budget()
    assert budget.limit_bytes == (MEMORY_MB - BASE_MEMORY_MB) * BYTES_PER_MB * BUDGET_FRACTION
    before = budget.limit_bytes
    budget.set_limit(192)
    assert budget.limit_bytes > 2 * before
    budget.set_limit(1)
    assert budget.limit_bytes > 0


def test_short_requests_find_room_where_long_messages_do_not() -> None:
    budget, _ = make_budget()
    assert budget.charge().try_add(int(0.4 * budget.limit_bytes), Priority.BULK)
    assert not budget.charge().try_add(1000, Priority.BULK)
    assert budget.charge().try_add(1000, Priority.REQUEST)
    assert budget.charge().try_add(int(0.4 * budget.limit_bytes) - 1000, Priority.REQUEST)
    assert not budget.charge().try_add(1000, Priority.REQUEST)
    assert budget.charge().try_add(1000, Priority.CONTROL)
    assert budget.counters == {"memory refused bulk": 1, "memory refused request": 1}


def test_a_released_charge_is_given_back_once() -> None:
    budget, _ = make_budget()
    charge = budget.charge(5000)
    charge.add(1000)
    charge.release()
    charge.release()
    assert budget.used_bytes == 0


def test_a_stalled_message_is_discarded_for_another_one() -> None:
    budget, clock = make_budget()
    reclaimed = []
    charges = [budget.charge() for _ in range(2)]
    for number, charge in enumerate(charges):
        charge.on_reclaim = lambda number=number: reclaimed.append(number)  # type: ignore[misc]
        assert charge.try_add(int(0.2 * budget.limit_bytes), Priority.BULK)
        charge.allow_reclaim()
    clock.now_s += STALLED_AFTER_S
    charges[0].allow_reclaim()  # it has grown, so the other one is the stalled one
    assert budget.charge().try_add(int(0.2 * budget.limit_bytes), Priority.BULK)
    assert reclaimed == [1] and charges[1].byte_count == 0
    assert not budget.charge().try_add(int(0.3 * budget.limit_bytes), Priority.BULK)
    assert reclaimed == [1]


def test_a_complete_message_is_not_discarded() -> None:
    budget, clock = make_budget()
    charge = budget.charge()
    assert charge.try_add(int(0.4 * budget.limit_bytes), Priority.BULK)
    charge.allow_reclaim()
    charge.complete()
    clock.now_s += 10 * STALLED_AFTER_S
    assert not budget.charge().try_add(1000, Priority.BULK)
    assert charge.byte_count > 0


def test_waiting_senders_go_on_once_memory_is_given_back() -> None:
    budget, _ = make_budget()
    charge = budget.charge(int(0.6 * budget.limit_bytes))
    called = []
    for number in range(3):
        budget.call_when_available(lambda number=number: called.append(number))  # type: ignore[misc]
    charge.add(-1000)
    assert called == []  # there is still no room for a long message
    charge.release()
    assert called == [0, 1, 2]
