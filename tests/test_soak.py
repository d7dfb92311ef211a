"""The soak: a scenario depends on its seed alone, and each rule detects its violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.soak.__main__ import format_result, format_summary, parse_seeds
from benchmarks.soak.drawing import JobClassSpec, draw_scenario
from benchmarks.soak.play import DISTURBED_S, Result
from benchmarks.soak.rules import Records, Violation, find_violations
from pipitshed.testbed.clients import ClientRequest
from pipitshed.testbed.planner import Run

SIGTERM_AT = 100.0
CLASSES = (JobClassSpec("quote", 1.5, "retryable", "all"), JobClassSpec("book", 1.5, "fragile", "all"))
ZONE_SCOPED_CLASSES = (CLASSES[0], JobClassSpec("book", 1.5, "dedup", "zone"))


def make_request(outcome: str = "served", job_class: str = "book", **changes: object) -> ClientRequest:
    """A request that was sent at 10 s and answered 0.5 s later."""
    request = ClientRequest("t1", "http-v1", job_class, "k-t1", "andes-retail", 1.0, 3)
    request.sent, request.ended, request.outcome, request.answers = 10.0, 10.5, outcome, 1
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def make_run(
    came: float = 10.1, how: str = "done", zone: str = "lima-norte", planner: str = "planner-1"
) -> Run:
    return Run("t1", "book", "k-t1", "andes-retail", 0.8, planner, zone, 1, came, came + 0.1, how)


def violated_rules(
    request: ClientRequest, *runs: Run, classes: tuple[JobClassSpec, ...] = CLASSES, **changes: object
) -> set[str]:
    """The rules that this request breaks; `changes` replace fields of Records."""
    records = Records([request], list(runs), [], [], SIGTERM_AT, False, 0, ["INFO ended:"], 40.0, 64.0)
    return {violation.rule for violation in find_violations(replace(records, **changes), classes)}  # type: ignore[arg-type]


def test_a_scenario_depends_on_its_seed_alone() -> None:
    assert draw_scenario(7, 6.0) == draw_scenario(7, 6.0) != draw_scenario(8, 6.0)
    scenarios = [draw_scenario(seed, 6.0) for seed in range(200)]
    for kinds in (
        {one.repeat for scenario in scenarios for one in scenario.classes},
        {one.kind for scenario in scenarios for one in scenario.faults},
    ):
        assert len(kinds) >= 3
    assert {scenario.idle_client_count > 0 for scenario in scenarios} == {True, False}
    assert all(0.005 <= pause.duration_s <= 0.15 for scenario in scenarios for pause in scenario.pauses)


def test_a_request_served_once_breaks_no_rule() -> None:
    assert violated_rules(make_request(), make_run()) == set()
    assert (
        violated_rules(make_request("refused", "quote"), make_run(how="cancelled")) == set()
    )  # a retryable job may run and be refused later
    assert violated_rules(make_request("refused"), make_run(how="returned")) == set()


@pytest.mark.parametrize(
    ("one", "runs", "classes", "rule"),
    [
        (make_request(), [make_run(), make_run(10.3, planner="planner-2")], CLASSES, "ran_twice"),
        (
            make_request(),
            [make_run(), make_run(10.3, zone="arequipa")],
            ZONE_SCOPED_CLASSES,
            "repeated_in_another_zone",
        ),
        (make_request("refused"), [make_run(how="cancelled")], CLASSES, "refused_though_it_ran"),
        (make_request("refused"), [make_run(how="cancelled")], ZONE_SCOPED_CLASSES, "refused_though_it_ran"),
        (
            make_request("failed", ended=10.2),
            [make_run(10.31, how="cancelled")],
            CLASSES,
            "attempt_after_the_end",
        ),
        (make_request("withdrawn", ended=10.05), [make_run(10.2)], CLASSES, "attempt_after_the_end"),
        (make_request(answers=2), [make_run()], CLASSES, "answered_twice"),
        (make_request(wrong="another truck"), [make_run()], CLASSES, "wrong_result"),
        (make_request(), [], CLASSES, "served_unrun"),
        (make_request("failed", ended=11.2), [make_run()], CLASSES, "answer_in_time"),
        (make_request("unanswered", ended=11.7, answers=0), [make_run()], CLASSES, "one_answer"),
    ],
)
def test_each_rule_detects_its_violation(
    one: ClientRequest, runs: list[Run], classes: tuple[JobClassSpec, ...], rule: str
) -> None:
    assert violated_rules(one, *runs, classes=classes) == {rule}


def test_an_answer_may_be_late_by_the_time_the_process_was_stopped() -> None:
    late = make_request("failed", ended=11.2)
    assert violated_rules(late, make_run(), pauses=[(10.9, 11.05)]) == set()
    assert violated_rules(late, make_run(), pauses=[(9.0, 10.05)]) == {"answer_in_time"}


def test_a_request_may_go_unanswered_only_if_it_crossed_the_close_and_never_ran() -> None:
    crossed_close = make_request(
        "unanswered", answers=0, not_accepted=True, reused_connection=True, sent=102.0, ended=102.1
    )
    assert violated_rules(crossed_close) == set()
    assert violated_rules(crossed_close, make_run(102.05)) == {"one_answer"}
    assert violated_rules(replace(crossed_close, sent=90.0, ended=90.1)) == {"one_answer"}
    refused_connection = replace(crossed_close, reused_connection=False, sent=100.1, ended=100.15)
    assert (
        violated_rules(refused_connection) == {"one_answer"}
        and violated_rules(replace(refused_connection, ended=100.3)) == set()
    )


def test_process_rules_cover_exit_log_and_memory() -> None:
    assert violated_rules(make_request(), make_run(), killed=True) == {"ended_before_sigkill"}
    assert violated_rules(make_request(), make_run(), exit_code=1) == {"exit_code"}
    assert violated_rules(make_request(), make_run(), log=["Traceback (most recent call last):"]) == {
        "traceback"
    }
    assert violated_rules(make_request(), make_run(), peak_mb=65.0) == {"memory"}


def test_a_disturbed_run_never_passes_and_ignores_timed_rules() -> None:
    undisturbed = Result(3, 10, {"served": 10}, 0.01, [], {"peak_mb": 40.0})
    assert undisturbed.verdict == "passed"
    disturbed = replace(undisturbed, worst_holdup_s=2 * DISTURBED_S)
    assert disturbed.verdict == "disturbed"
    late = [Violation("answer_in_time", "t1", "", timed=True)]
    assert replace(undisturbed, broken=late).verdict == "broken"
    assert replace(disturbed, broken=late).verdict == "disturbed"
    assert replace(disturbed, broken=[Violation("ran_twice", "t1", "")]).verdict == "broken"
    assert "--seeds 3 --seconds 20" in format_result(replace(undisturbed, broken=late), 20.0)
    assert "1 passed, 1 disturbed, 0 broken" in format_summary([undisturbed, disturbed])


def test_seeds_are_ranges_or_comma_separated() -> None:
    assert parse_seeds("1-3,7") == [1, 2, 3, 7]
