"""Slow start of workers under the load of all schedulers together: decisions only, in virtual time."""

from __future__ import annotations

import pytest

from benchmarks.cold_ramp import SCENARIOS, Scenario, Simulation, worst_window


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
