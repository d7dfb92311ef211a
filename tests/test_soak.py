"""The soak: its plays are drawn by the seed alone, and its rules find what they are for."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.soak.__main__ import line, seeds_of, table
from benchmarks.soak.drawing import JobClassDraw, draw_play
from benchmarks.soak.play import DISTURBED_S, Result
from benchmarks.soak.rules import Break, Records, breaks
from pipitshed.testbed.clients import ClientRequest
from pipitshed.testbed.planner import Run

SIGTERM_AT = 100.0
CLASSES = (JobClassDraw("quote", 1.5, "retryable", "all"), JobClassDraw("book", 1.5, "fragile", "all"))
ZONED = (CLASSES[0], JobClassDraw("book", 1.5, "dedup", "zone"))


def asked(outcome: str = "served", job_class: str = "book", **changes: object) -> ClientRequest:
    """A request that was sent at 10 s and has its answer 0.5 s later."""
    one = ClientRequest("t1", "http-v1", job_class, "k-t1", "andes-retail", 1.0, 3)
    one.sent, one.ended, one.outcome, one.answers = 10.0, 10.5, outcome, 1
    for name, value in changes.items():
        setattr(one, name, value)
    return one


def run(came: float = 10.1, how: str = "done", zone: str = "lima-norte", planner: str = "planner-1") -> Run:
    return Run("t1", "book", "k-t1", "andes-retail", 0.8, planner, zone, 1, came, came + 0.1, how)


def rules(
    one: ClientRequest, *runs: Run, classes: tuple[JobClassDraw, ...] = CLASSES, **changes: object
) -> set[str]:
    """The rules that this request breaks."""
    records = Records([one], list(runs), [], [], SIGTERM_AT, False, 0, ["INFO ended:"], 40.0, 64.0)
    return {broken.rule for broken in breaks(replace(records, **changes), classes)}  # type: ignore[arg-type]


def test_a_play_is_drawn_by_its_seed_alone() -> None:
    assert draw_play(7, 6.0) == draw_play(7, 6.0) != draw_play(8, 6.0)
    plays = [draw_play(seed, 6.0) for seed in range(200)]
    for kinds in (
        {one.repeat for play in plays for one in play.classes},
        {one.kind for play in plays for one in play.troubles},
    ):
        assert len(kinds) >= 3
    assert {play.crowd > 0 for play in plays} == {True, False}
    assert all(0.005 <= stop.lasts <= 0.15 for play in plays for stop in play.stops)


def test_a_request_that_is_served_once_breaks_nothing() -> None:
    assert rules(asked(), run()) == set()
    assert rules(asked("refused", "quote"), run(how="cancelled")) == set()  # it may be repeated
    assert rules(asked("refused"), run(how="returned")) == set()


@pytest.mark.parametrize(
    ("one", "runs", "classes", "rule"),
    [
        (asked(), [run(), run(10.3, planner="planner-2")], CLASSES, "ran_twice"),
        (asked(), [run(), run(10.3, zone="arequipa")], ZONED, "repeated_in_another_zone"),
        (asked("refused"), [run(how="cancelled")], CLASSES, "refused_though_it_ran"),
        (asked("refused"), [run(how="cancelled")], ZONED, "refused_though_it_ran"),
        (asked("failed", ended=10.2), [run(10.31, how="cancelled")], CLASSES, "attempt_after_the_end"),
        (asked("withdrawn", ended=10.05), [run(10.2)], CLASSES, "attempt_after_the_end"),
        (asked(answers=2), [run()], CLASSES, "answered_twice"),
        (asked(wrong="another truck"), [run()], CLASSES, "wrong_result"),
        (asked(), [], CLASSES, "served_unrun"),
        (asked("failed", ended=11.2), [run()], CLASSES, "answer_in_time"),
        (asked("unanswered", ended=11.7, answers=0), [run()], CLASSES, "one_answer"),
    ],
)
def test_each_rule_finds_its_break(
    one: ClientRequest, runs: list[Run], classes: tuple[JobClassDraw, ...], rule: str
) -> None:
    assert rules(one, *runs, classes=classes) == {rule}


def test_a_late_answer_is_excused_by_as_much_as_the_program_stood_still() -> None:
    late = asked("failed", ended=11.2)
    assert rules(late, run(), stops=[(10.9, 11.05)]) == set()
    assert rules(late, run(), stops=[(9.0, 10.05)]) == {"answer_in_time"}


def test_a_request_that_crossed_the_close_was_never_taken_and_one_that_ran_was() -> None:
    crossed = asked(
        "unanswered", answers=0, not_accepted=True, reused_connection=True, sent=102.0, ended=102.1
    )
    assert rules(crossed) == set()
    assert rules(crossed, run(102.05)) == {"one_answer"}
    assert rules(replace(crossed, sent=90.0, ended=90.1)) == {"one_answer"}
    refused = replace(crossed, reused_connection=False, sent=100.1, ended=100.15)
    assert rules(refused) == {"one_answer"} and rules(replace(refused, ended=100.3)) == set()


def test_the_process_is_held_to_its_end_its_log_and_its_memory() -> None:
    assert rules(asked(), run(), killed=True) == {"ended_before_sigkill"}
    assert rules(asked(), run(), exit_code=1) == {"exit_code"}
    assert rules(asked(), run(), log=["Traceback (most recent call last):"]) == {"traceback"}
    assert rules(asked(), run(), peak_mb=65.0) == {"memory"}


def test_a_disturbed_play_never_passed_and_breaks_by_time_count_in_undisturbed_ones_alone() -> None:
    quiet = Result(3, 10, {"served": 10}, 0.01, [], {"peak_mb": 40.0})
    assert quiet.verdict == "passed"
    held_up = replace(quiet, worst_holdup_s=2 * DISTURBED_S)
    assert held_up.verdict == "disturbed"
    late = [Break("answer_in_time", "t1", "", timed=True)]
    assert replace(quiet, broken=late).verdict == "broken"
    assert replace(held_up, broken=late).verdict == "disturbed"
    assert replace(held_up, broken=[Break("ran_twice", "t1", "")]).verdict == "broken"
    assert "--seeds 3 --seconds 20" in line(replace(quiet, broken=late), 20.0)
    assert "1 passed, 1 disturbed, 0 broken" in table([quiet, held_up])


def test_seeds_are_ranges_or_parted_by_commas() -> None:
    assert seeds_of("1-3,7") == [1, 2, 3, 7]
