"""Up to forty schedulers, and one catalog that serves calls in turn and rejects them if its queue is full."""

from __future__ import annotations

from helpers import Bench, entries, settings

from pipitshed.scheduling.actions import WatchEndpoints
from pipitshed.scheduling.events import EndpointsUpdated, UpdateKind
from pipitshed.scheduling.settings import Guarantees

SERVE_MS = 110.0  # one call at a time
MAX_WAITING_CALLS = 4  # further calls are rejected at once


def simulate(
    scheduler_count: int,
    duration_s: float,
    outage_s: float = 0.0,
    poll_deadline_ms: float = 10_000.0,
) -> tuple[int, dict[int, float], float]:
    """Simulate schedulers that start together from their cached lists; for the first `outage_s` seconds, the
    catalog rejects every call.

    Returns the number of calls during the outage, the time (ms from the start) at which each scheduler got
    its watch, and the longest gap (ms) between two calls of one scheduler.
    """
    config = settings(
        endpoints_polled=True,
        scheduler_count=scheduler_count,
        guarantees=Guarantees(answer_slack_ms=20.0, drain_grace_ms=100.0, poll_deadline_ms=poll_deadline_ms),
    )
    benches = [Bench(config, entries(3), seed=number) for number in range(scheduler_count)]
    waiting: list[int] = []
    watch_started_ms: dict[int, float] = {}
    calls, free_at, start = 0, 0.0, benches[0].now
    now, last_call_at, longest_gap_ms = start, [start] * scheduler_count, 0.0
    while now < start + duration_s * 1000:
        now += config.tick_ms
        for number, bench in enumerate(benches):
            for action in bench.run(now):
                if isinstance(action, WatchEndpoints) and action.enabled:
                    longest_gap_ms, last_call_at[number] = (
                        max(longest_gap_ms, now - last_call_at[number]),
                        now,
                    )
                    if now < start + outage_s * 1000:
                        calls += 1
                        bench.feed(EndpointsUpdated(UpdateKind.FETCH_FAILED))
                    elif len(waiting) < MAX_WAITING_CALLS:
                        waiting.append(number)
                    else:
                        bench.feed(EndpointsUpdated(UpdateKind.FETCH_FAILED))
        if waiting and now >= free_at:
            number = waiting.pop(0)
            free_at = now + SERVE_MS
            watch_started_ms[number] = now - start
            benches[number].feed(EndpointsUpdated(UpdateKind.SNAPSHOT, 2, entries(3)))
    return calls, watch_started_ms, longest_gap_ms


def test_rejected_schedulers_back_off_but_retry_before_changes_count_as_known() -> None:
    """Guards against schedulers that keep an overloaded catalog's queue full, and against a back-off of up to
    8 s: a change counts as known 6 s after the catalog has it and is reachable, whatever the wait after a
    failed call may be."""
    calls, watch_started_ms, longest_gap_ms = simulate(40, 30.0, outage_s=15.0)
    assert calls < 40 * 13  # without back-off there would be over 40 * 50 calls
    assert len(watch_started_ms) == 40
    # Two calls fit between the catalog's return and the time when a change counts as known.
    assert longest_gap_ms <= 2_000.0 + 5.0


def test_a_failed_call_is_retried_in_time_for_any_poll_deadline() -> None:
    """Other poll deadlines: with one of a minute the back-off does not grow further; with one of half a
    second, a failed call is retried within four times the deadline."""
    assert simulate(3, 30.0, outage_s=20.0, poll_deadline_ms=60_000.0)[2] <= 2_000.0 + 5.0
    assert simulate(3, 30.0, outage_s=20.0, poll_deadline_ms=500.0)[2] < 4 * 500.0


def test_a_few_siblings_all_know_the_list_6_s_after_discovery_is_back() -> None:
    """Each of ten schedulers takes a ninth of a second of the catalog's time in turn, with four waiting."""
    _, watch_started_ms, _ = simulate(10, 30.0, outage_s=15.0)
    assert len(watch_started_ms) == 10 and max(watch_started_ms.values()) < 15_000.0 + 6_000.0


def test_an_unavailable_agent_is_not_polled_in_a_busy_loop() -> None:
    """Where lists are pushed, the retry delay is a fraction of the drain grace period, which may be 0."""
    config = settings(
        endpoints_polled=True,
        endpoints_pushed=True,
        guarantees=Guarantees(answer_slack_ms=20.0, drain_grace_ms=0.0, poll_deadline_ms=10_000.0),
    )
    bench, calls = Bench(config, entries(3)), 0
    for _ in range(1000):
        for action in bench.run(bench.now + config.tick_ms):
            if isinstance(action, WatchEndpoints):
                calls += 1
                bench.feed(EndpointsUpdated(UpdateKind.FETCH_FAILED))
    assert 10 < calls <= 1000 * config.tick_ms / 20.0 + 1
