"""The dispatcher does what it did at 9bcbde6: the same actions, in the same order, with the same draws."""

from __future__ import annotations

import random

import pytest

from equivalence import names, recording
from equivalence.names import Decisions
from equivalence.streams import World

PARTS = 12  # the seeds are spread over so many tests, which may run side by side


@pytest.mark.parametrize("part", range(PARTS))
def test_each_seeded_stream_brings_the_recorded_actions(part: int) -> None:
    recorded = recording.recorded_hashes("seeds.json.gz")
    assert list(recorded) == [str(seed) for seed in recording.SEEDS]
    for seed in recording.SEEDS[part::PARTS]:
        difference = recording.first_difference(World(seed).turns(), recorded[str(seed)])
        assert difference is None, f"seed {seed}: {difference}"


def test_the_stream_of_the_experiment_brings_the_recorded_actions() -> None:
    [recorded] = recording.recorded_hashes("experiment.json.gz").values()
    assert recording.first_difference(recording.real_turns(), recorded) is None


class _OneDrawMore(World):
    """A world whose dispatcher draws once more before its tenth turn than it did."""

    def turns(self):
        for number, turn in enumerate(super().turns()):
            if number == 10:
                drawn = _generator(self.decisions)
                drawn.random()
            yield turn


def _generator(decisions: Decisions) -> random.Random:
    """The dispatcher's generator, wherever it keeps it."""
    seen, waiting = set(), [decisions]
    while waiting:
        held = waiting.pop()
        if isinstance(held, random.Random):
            return held
        if id(held) in seen or not type(held).__module__.startswith(("pipitshed", "equivalence")):
            continue
        seen.add(id(held))
        waiting += list(vars(held).values()) if hasattr(held, "__dict__") else []
    raise AssertionError("the dispatcher holds no generator")


def _changed(worlds: type[World]) -> list[int]:
    """The seeds of the first forty whose streams differ from the recording."""
    recorded = recording.recorded_hashes("seeds.json.gz")
    return [
        seed
        for seed in recording.SEEDS[:40]
        if recording.first_difference(worlds(seed).turns(), recorded[str(seed)]) is not None
    ]


def test_one_draw_more_is_found() -> None:
    assert _changed(_OneDrawMore)


@pytest.mark.parametrize("constant", sorted(names.CONSTANTS))
def test_a_changed_constant_is_found(constant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, name, changed = names.CONSTANTS[constant]
    monkeypatch.setattr(module, name, changed)
    assert _changed(World)
