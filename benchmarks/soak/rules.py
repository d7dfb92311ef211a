"""The rules of a soak run, checked against the records of clients, workers and the process."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.soak.drawing import JobClassSpec
from pipitshed.testbed.accounts import account
from pipitshed.testbed.clients import SLACK_S, ClientRequest
from pipitshed.testbed.fleet.standins import Member
from pipitshed.testbed.planner import Run

LATE_ATTEMPT_TOLERANCE_S = 0.1  # no attempt begins later than this after its client was answered or left
SHOWN_PAUSES_S = 2.0  # pauses this close to a request are shown with it
MIN_ACCEPT_AFTER_SIGTERM_S = 0.2  # new connections are accepted this long after SIGTERM
ACCOUNT_RULES = ("answered_twice", "wrong_result", "served_unrun", "unfit_but_ran", "ran_unasked")
TIMED_ACCOUNT_RULES = ("two_outstanding", "after_drain")


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, its subject (a request's token, or the process), and the records that show it."""

    rule: str
    subject: str
    records: str
    timed: bool = False  # a delay of the stand-ins could explain it


@dataclass(frozen=True, slots=True)
class Records:
    """Everything recorded during a run. Times are seconds of the monotonic clock."""

    requests: Sequence[ClientRequest]
    runs: list[Run]
    members: Sequence[Member]
    pauses: Sequence[tuple[float, float]]  # start and end of each SIGSTOP
    sigterm_at: float
    killed: bool  # the process had to be ended with SIGKILL
    exit_code: int
    log: Sequence[str]
    peak_mb: float
    memory_limit_mb: float


def find_violations(records: Records, classes: Iterable[JobClassSpec]) -> list[Violation]:
    """All rule violations in these records."""
    runs_by_token: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(records.runs, key=lambda run: run.arrived):
        runs_by_token[run.token].append(run)
    classes_by_name = {job_class.name: job_class for job_class in classes}
    violations = _process_violations(records) + _account_violations(records)
    for request in records.requests:
        runs = runs_by_token[request.token]
        violations += _answer_violations(records, request, runs)
        violations += _repeat_violations(classes_by_name[request.job_class], request, runs)
    return violations


def _process_violations(records: Records) -> list[Violation]:
    violations = []
    log = "\n".join(records.log)
    if records.killed:
        violations.append(Violation("ended_before_sigkill", "the program", log[-2000:]))
    elif records.exit_code != 0:
        violations.append(Violation("exit_code", str(records.exit_code), log[-2000:]))
    if "Traceback" in log:
        violations.append(Violation("traceback", "the log", log[log.index("Traceback") :][:3000]))
    if records.peak_mb > records.memory_limit_mb:
        violations.append(
            Violation("memory", f"{records.peak_mb:.0f} MB", f"limit {records.memory_limit_mb:.0f} MB")
        )
    return violations


def _account_violations(records: Records) -> list[Violation]:
    figures = account(records.requests, records.runs, records.members)
    faults = figures["faults"]
    assert isinstance(faults, dict)
    return [
        Violation(rule, str(subject), "", timed=rule in TIMED_ACCOUNT_RULES)
        for rule in ACCOUNT_RULES + TIMED_ACCOUNT_RULES
        for subject in faults.get(rule, ())
    ]


def _answer_violations(records: Records, request: ClientRequest, runs: list[Run]) -> list[Violation]:
    """Exactly one final answer, in time, and no attempt after it."""
    details = (
        f"{describe(request, runs)}\n"
        f"  SIGTERM came {records.sigterm_at - request.sent:.3f} s after it was sent"
    )
    pauses = [pause for pause in records.pauses if abs(pause[0] - request.sent) < SHOWN_PAUSES_S]
    details += "".join(
        f"\n  paused from {start - request.sent:.3f} to {end - request.sent:.3f}" for start, end in pauses
    )
    if request.outcome == "unanswered":
        # The scheduler did not accept a request that crossed its close of the connection, or one that it
        # refused after it stopped listening.
        closing = request.ended > records.sigterm_at
        may_refuse = request.ended > records.sigterm_at + MIN_ACCEPT_AFTER_SIGTERM_S
        excused = (closing and request.not_accepted and request.reused_connection) or (
            may_refuse and request.not_accepted
        )
        return [] if excused and not runs else [Violation("one_answer", request.token, details)]
    violations = []
    if request.outcome != "withdrawn":
        late_s = request.ended - (request.sent + request.timeout) - SLACK_S
        if late_s > _paused_s(records.pauses, request.sent, request.ended):
            violations.append(
                Violation("answer_in_time", request.token, f"{late_s:.3f} s late: {details}", timed=True)
            )
    late_runs = [run for run in runs if run.arrived > request.ended + LATE_ATTEMPT_TOLERANCE_S]
    if late_runs:
        violations.append(Violation("attempt_after_the_end", request.token, details, timed=True))
    return violations


def _paused_s(pauses: Sequence[tuple[float, float]], since: float, until: float) -> float:
    """Seconds between `since` and `until` in which the process was stopped."""
    return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in pauses)


def _repeat_violations(job_class: JobClassSpec, request: ClientRequest, runs: list[Run]) -> list[Violation]:
    """Repeats only as the class allows; `refused` (never ran) only if no worker ran the job."""
    ran = [run for run in runs if run.outcome != "returned"]
    details = describe(request, runs)
    if job_class.repeat == "retryable":
        return []
    violations = []
    if job_class.repeat == "fragile" and len(ran) > 1:
        violations.append(Violation("ran_twice", request.token, details))
    zone_scope = job_class.repeat == "dedup" and job_class.scope == "zone"
    if zone_scope and len({run.zone for run in ran}) > 1:
        violations.append(Violation("repeated_in_another_zone", request.token, details))
    if request.outcome == "refused" and ran and (job_class.repeat == "fragile" or zone_scope):
        violations.append(Violation("refused_though_it_ran", request.token, details))
    return violations


def describe(request: ClientRequest, runs: Iterable[Run]) -> str:
    """The records of one request in order, with times in seconds since it was sent."""
    lines = [
        f"{request.kind} {request.job_class} timeout {request.timeout:.3f} "
        f"cancels after {request.cancel_after:.3f}: "
        f"{request.outcome} after {request.ended - request.sent:.3f} s {request.detail}"
    ]
    lines += [
        f"  {run.planner} ({run.zone}, interface {run.interface}) arrived {run.arrived - request.sent:.3f} "
        f"ended {run.ended - request.sent:.3f} {run.outcome}"
        for run in runs
    ]
    return "\n".join(lines)
