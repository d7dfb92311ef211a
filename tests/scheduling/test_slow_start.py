"""Slow start of workers under the load of all schedulers together: decisions only, in virtual time."""

from __future__ import annotations

import pytest

from benchmarks.cold_ramp import SCENARIOS, Scenario, Simulation, worst_window

MEAN_CAPACITY_FRACTION = 0.65  # of a worker during its slow start in these scenarios


# Guards against a kind of worker that returns and falls over under the jobs that have waited for it.
@pytest.mark.parametrize("processes", [1, 20])
@pytest.mark.parametrize(
    "name",
    [
        "a whole kind returns",
        "a whole kind returns, one by one",
        "a whole kind returns, one slot",
        "a whole kind returns, many slots",
        "a whole kind returns, no starts told",
    ],
)
def test_a_backlog_does_not_exceed_the_limit_of_workers_in_slow_start(processes: int, name: str) -> None:
    """All workers of the pool have just started: they get no more than their limit, and do what they can."""
    scenario = Scenario(process_count=processes, **SCENARIOS[name])
    simulation = Simulation(scenario, seed=0)
    for planner in simulation.simulate():
        share, over = worst_window(planner, scenario.guarantees, by_work=False)
        assert over == 0, (planner.id, share)
        served_by_capacity = 0.5 * MEAN_CAPACITY_FRACTION * scenario.guarantees.slow_start_ms
        cold = [
            arrival
            for arrival in planner.arrivals
            if arrival[0] < planner.started_at_ms + scenario.guarantees.slow_start_ms
        ]
        assert len(cold) > served_by_capacity * scenario.slots / simulation.mean_work_ms


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("name", ["burst", "processes restarted", "a zone returns, uneven", "all at once"])
def test_workers_in_slow_start_get_no_more_than_their_limit_plus_chance(processes: int, name: str) -> None:
    """The limit is N + 2 * sqrt(N) + 2 requests in each window, where N is what the settings allow at that
    time. Some schedulers know only the endpoint list, some get no update, and rejected clients return at
    once."""
    for seed in range(3):
        simulation = Simulation(Scenario(process_count=processes, **SCENARIOS[name]), seed)
        cold_workers = simulation.simulate()
        assert sum(len(planner.arrivals) for planner in cold_workers) > 100  # they get jobs at all
        for planner in cold_workers:
            share, over = worst_window(planner, simulation.scenario.guarantees, by_work=False)
            assert over == 0, (seed, planner.id, share)
