"""The ramp of cold planners, for the sum of what all processes send: the decisions alone, in virtual time."""

from __future__ import annotations

import pytest

from benchmarks.cold_ramp import SCENARIOS, Scenario, Simulation, worst_window


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("name", ["burst", "processes restarted", "a zone returns, uneven", "all at once"])
def test_beyond_their_budget_of_n_only_chance_comes_to_cold_planners(processes: int, name: str) -> None:
    """N + 2 * sqrt(N) + 2 requests in each window, N being what the settings allow then: some processes know
    nothing but the list, some are not told, and refused clients come again at once."""
    for seed in range(3):
        simulation = Simulation(Scenario(process_count=processes, **SCENARIOS[name]), seed)
        cold = simulation.simulate()
        assert sum(len(planner.arrivals) for planner in cold) > 100  # they are not left out either
        for planner in cold:
            share, over = worst_window(planner, simulation.scenario.guarantees, by_work=False)
            assert over == 0, (seed, planner.id, share)
