"""The dispatcher acts as at commit 9bcbde6: same actions, same order, same random draws."""

from __future__ import annotations

import random

import pytest

from equivalence import names, recording
from equivalence.names import TranslatedDispatcher
from equivalence.streams import Environment

PARTS = 12  # the seeds are split over this many tests, which may run in parallel


@pytest.mark.parametrize("part", range(PARTS))
def test_each_seeded_stream_gives_the_recorded_actions(part: int) -> None:
    recorded = recording.recorded_hashes("seeds.json.gz")
    assert list(recorded) == [str(seed) for seed in recording.SEEDS]
    for seed in recording.SEEDS[part::PARTS]:
        difference = recording.first_difference(Environment(seed).turns(), recorded[str(seed)])
        assert difference is None, f"seed {seed}: {difference}"


def test_the_stream_of_the_experiment_gives_the_recorded_actions() -> None:
    [recorded] = recording.recorded_hashes("experiment.json.gz").values()
    assert recording.first_difference(recording.experiment_turns(), recorded) is None


class _OneExtraDraw(Environment):
    """An environment whose dispatcher makes one extra random draw after turn 10."""

    def turns(self):
        for number, turn in enumerate(super().turns()):
            if number == 10:
                generator = _random_generator(self.dispatcher)
                generator.random()
            yield turn


def _random_generator(dispatcher: TranslatedDispatcher) -> random.Random:
    """The random number generator of the dispatcher, found in its attributes."""
    seen_ids, pending = set(), [dispatcher]
    while pending:
        candidate = pending.pop()
        if isinstance(candidate, random.Random):
            return candidate
        if id(candidate) in seen_ids or not type(candidate).__module__.startswith(
            ("pipitshed", "equivalence")
        ):
            continue
        seen_ids.add(id(candidate))
        pending += list(vars(candidate).values()) if hasattr(candidate, "__dict__") else []
    raise AssertionError("the dispatcher has no random number generator")


def _seeds_that_differ(environment_type: type[Environment]) -> list[int]:
    """The seeds among the first 40 whose streams differ from the recording."""
    recorded = recording.recorded_hashes("seeds.json.gz")
    return [
        seed
        for seed in recording.SEEDS[:40]
        if recording.first_difference(environment_type(seed).turns(), recorded[str(seed)]) is not None
    ]


def test_an_extra_random_draw_is_found() -> None:
    assert _seeds_that_differ(_OneExtraDraw)


@pytest.mark.parametrize("constant", sorted(names.CONSTANTS))
def test_a_changed_constant_is_found(constant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, name, changed = names.CONSTANTS[constant]
    monkeypatch.setattr(module, name, changed)
    assert _seeds_that_differ(Environment)
