"""Slow start of workers under the load of all schedulers together: decisions only, in virtual time."""

from __future__ import annotations

import pytest

from benchmarks.cold_ramp import SCENES, Scene, World, worst


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("name", ["burst", "processes restarted", "a zone returns, uneven", "all at once"])
def test_workers_in_slow_start_get_no_more_than_their_limit_plus_chance(processes: int, name: str) -> None:
    """The limit is N + 2 * sqrt(N) + 2 requests in each window, where N is what the settings allow at that
    time. Some schedulers know only the endpoint list, some get no update, and rejected clients return at
    once."""
    for seed in range(3):
        world = World(Scene(processes=processes, **SCENES[name]), seed)
        cold_workers = world.play()
        assert sum(len(planner.came) for planner in cold_workers) > 100  # they get jobs at all
        for planner in cold_workers:
            share, over = worst(planner, world.scene.rules, by_work=False)
            assert over == 0, (seed, planner.id, share)
