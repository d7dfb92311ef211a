"""The final answer to a job without a result carries the reason, which the published trace omits."""

from __future__ import annotations

from dataclasses import replace

from helpers import Bench, entries, settings

from pipitshed.proxy.decision_log import format_line
from pipitshed.scheduling.actions import AnswerReason, FailRequest, RejectRequest
from pipitshed.scheduling.capacity_estimate import WINDOW_ATTEMPT_COUNT
from pipitshed.scheduling.events import JobSubmitted, Outcome
from pipitshed.scheduling.settings import Idempotency


def answer_reasons(bench: Bench) -> list[AnswerReason | None]:
    return [action.reason for action in bench.log if isinstance(action, RejectRequest | FailRequest)]


def test_a_job_shed_near_saturation_carries_that_reason() -> None:
    bench = Bench(settings(zone_count=1), entries(9))
    for job in range(40):
        for _ in range(WINDOW_ATTEMPT_COUNT):
            bench.dispatcher.window.add(bench.now, True)
        bench.feed(JobSubmitted(job, 4000.0))
    assert AnswerReason.SATURATED in answer_reasons(bench)


def test_a_job_that_no_worker_runs_is_answered_at_its_deadline() -> None:
    config = settings(zone_count=1)
    bench = Bench(replace(config, classes=(replace(config.classes[0], worker_kind=7),)), entries(3))
    bench.feed(JobSubmitted(1, 400.0))
    bench.run(bench.now + 500.0)
    assert answer_reasons(bench) == [AnswerReason.DEADLINE]


def test_a_job_that_must_not_run_twice_carries_that_reason() -> None:
    bench = Bench(settings(Idempotency.NON_IDEMPOTENT, zone_count=1), entries(9))
    [attempt] = [
        action for action in bench.feed(JobSubmitted(1, 4000.0)) if hasattr(action, "write_within_ms")
    ]
    bench.finish(attempt, 0, Outcome.RESET)
    bench.run(bench.now + 500.0)
    assert answer_reasons(bench) == [AnswerReason.NOT_REPEATABLE]


def test_the_trace_prints_no_reason() -> None:
    rejected = RejectRequest(1, 20.0, AnswerReason.SATURATED)
    assert format_line(5.0, ">", rejected) == format_line(5.0, ">", RejectRequest(1, 20.0))
    assert format_line(5.0, ">", rejected) == "5.0 > Refuse job=1 retry_after=20.0"
    assert format_line(5.0, ">", FailRequest(1, AnswerReason.DEADLINE)) == "5.0 > Fail job=1"
