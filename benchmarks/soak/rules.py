"""The rules that a play is held to, judged from the clients' and the workers' own records alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.soak.drawing import JobClassDraw
from pipitshed.testbed.accounts import account
from pipitshed.testbed.clients import SLACK, ClientRequest
from pipitshed.testbed.fleet.standins import Member
from pipitshed.testbed.planner import Run

AFTER_END_S = 0.1  # from a client's end, or its answer, after which no attempt begins
SHOWN_STOPS_S = 2.0  # around a request: the program's stops that are shown with it
DOORS_OPEN_S = 0.2  # after SIGTERM, for which new connections must still be taken
ACCOUNT_RULES = ("answered_twice", "wrong_result", "served_unrun", "unfit_but_ran", "ran_unasked")
TIMED_ACCOUNT_RULES = ("two_outstanding", "after_drain")


@dataclass(frozen=True, slots=True)
class Break:
    """A rule that was broken, the request (or what else), and the records behind it."""

    rule: str
    subject: str
    records: str
    timed: bool = False  # a hold-up of the stand-ins could explain it


@dataclass(frozen=True, slots=True)
class Records:
    """All that was noted during a play. Times are seconds of the monotonic clock."""

    asked: Sequence[ClientRequest]
    runs: list[Run]
    members: Sequence[Member]
    stops: Sequence[tuple[float, float]]  # when the program stood still
    sigterm_at: float
    killed: bool  # it had not ended when SIGKILL came
    exit_code: int
    log: Sequence[str]
    peak_mb: float
    memory_limit_mb: float


def breaks(records: Records, classes: Iterable[JobClassDraw]) -> list[Break]:
    """All rules that were broken."""
    by_token: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(records.runs, key=lambda run: run.arrived):
        by_token[run.token].append(run)
    by_name = {job_class.name: job_class for job_class in classes}
    found = _process_breaks(records) + _account_breaks(records)
    for asked in records.asked:
        runs = by_token[asked.token]
        found += _answer_breaks(records, asked, runs)
        found += _repeat_breaks(by_name[asked.job_class], asked, runs)
    return found


def _process_breaks(records: Records) -> list[Break]:
    found = []
    log = "\n".join(records.log)
    if records.killed:
        found.append(Break("ended_before_sigkill", "the program", log[-2000:]))
    elif records.exit_code != 0:
        found.append(Break("exit_code", str(records.exit_code), log[-2000:]))
    if "Traceback" in log:
        found.append(Break("traceback", "the log", log[log.index("Traceback") :][:3000]))
    if records.peak_mb > records.memory_limit_mb:
        found.append(Break("memory", f"{records.peak_mb:.0f} MB", f"limit {records.memory_limit_mb:.0f} MB"))
    return found


def _account_breaks(records: Records) -> list[Break]:
    figures = account(records.asked, records.runs, records.members)
    faults = figures["faults"]
    assert isinstance(faults, dict)
    return [
        Break(rule, str(subject), "", timed=rule in TIMED_ACCOUNT_RULES)
        for rule in ACCOUNT_RULES + TIMED_ACCOUNT_RULES
        for subject in faults.get(rule, ())
    ]


def _answer_breaks(records: Records, asked: ClientRequest, runs: list[Run]) -> list[Break]:
    """One final answer in time, and no attempt behind it."""
    told = (
        f"{describe(asked, runs)}\n  SIGTERM came {records.sigterm_at - asked.sent:.3f} s after it was sent"
    )
    near = [stop for stop in records.stops if abs(stop[0] - asked.sent) < SHOWN_STOPS_S]
    told += "".join(f"\n  stood still {a - asked.sent:.3f} to {b - asked.sent:.3f}" for a, b in near)
    if asked.outcome == "unanswered":
        # A close may cross a request that was not read; a closed door refuses one. Neither was taken.
        closing = asked.ended > records.sigterm_at
        door_closed = asked.ended > records.sigterm_at + DOORS_OPEN_S
        excused = (closing and asked.not_accepted and asked.reused_connection) or (
            door_closed and asked.not_accepted
        )
        return [] if excused and not runs else [Break("one_answer", asked.token, told)]
    found = []
    if asked.outcome != "withdrawn":
        late_s = asked.ended - (asked.sent + asked.timeout) - SLACK
        if late_s > _stood_still(records.stops, asked.sent, asked.ended):
            found.append(Break("answer_in_time", asked.token, f"{late_s:.3f} s late: {told}", timed=True))
    late_runs = [run for run in runs if run.arrived > asked.ended + AFTER_END_S]
    if late_runs:
        found.append(Break("attempt_after_the_end", asked.token, told, timed=True))
    return found


def _stood_still(stops: Sequence[tuple[float, float]], since: float, until: float) -> float:
    """How long the program stood still between two times."""
    return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in stops)


def _repeat_breaks(job_class: JobClassDraw, asked: ClientRequest, runs: list[Run]) -> list[Break]:
    """Repeats as the class allows, and "never ran" only where no worker has a record of it."""
    ran = [run for run in runs if run.outcome != "returned"]
    told = describe(asked, runs)
    if job_class.repeat == "retryable":
        return []
    found = []
    if job_class.repeat == "fragile" and len(ran) > 1:
        found.append(Break("ran_twice", asked.token, told))
    zone_scope = job_class.repeat == "dedup" and job_class.scope == "zone"
    if zone_scope and len({run.zone for run in ran}) > 1:
        found.append(Break("repeated_in_another_zone", asked.token, told))
    if asked.outcome == "refused" and ran and (job_class.repeat == "fragile" or zone_scope):
        found.append(Break("refused_though_it_ran", asked.token, told))
    return found


def describe(asked: ClientRequest, runs: Iterable[Run]) -> str:
    """The records of one request, in order, with times since it was sent."""
    lines = [
        f"{asked.kind} {asked.job_class} patience {asked.timeout:.3f} leaves {asked.cancel_after:.3f}: "
        f"{asked.outcome} after {asked.ended - asked.sent:.3f} s {asked.detail}"
    ]
    lines += [
        f"  {run.planner} ({run.zone}, interface {run.interface}) came {run.arrived - asked.sent:.3f} "
        f"ended {run.ended - asked.sent:.3f} {run.outcome}"
        for run in runs
    ]
    return "\n".join(lines)
