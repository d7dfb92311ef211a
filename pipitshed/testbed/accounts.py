"""The account of a run: what the client of each request received, and what each planner ran for it.

The account is made from the records of clients and planners alone, never from the scheduler's own counters.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from pipitshed.testbed.clients import ClientRequest, expected_key
from pipitshed.testbed.fleet.standins import Member
from pipitshed.testbed.planner import DEDUP_WINDOW_S, Run

OVERLAP_S = 0.05  # s; two attempts may appear to overlap, as cancel and send use separate connections
DRAIN_S = 1.5 + 0.05  # s after the drain notice in which attempts may still arrive: `drainGrace` and a margin
OUTCOMES = ("served", "refused", "failed", "withdrawn", "unanswered")
MUST_BE_ZERO = ("unanswered", "answered_twice", "ran_twice_forbidden", "two_outstanding", "after_drain")


def account(
    requests: Iterable[ClientRequest], runs: list[Run], members: Iterable[Member]
) -> dict[str, object]:
    """Return all figures; `faults` lists request tokens for each figure that should be zero."""
    requests = list(requests)
    outcomes = Counter(request.outcome for request in requests)
    faults: dict[str, list[str]] = defaultdict(list)
    by_token: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_token[run.token].append(run)
    for request in requests:
        if request.answers > 1:
            faults["answered_twice"].append(request.token)
        if request.wrong:
            faults["wrong_result"].append(f"{request.token}: {request.wrong}")
        if request.outcome == "unanswered":
            faults["unanswered"].append(
                f"{request.token}: {request.kind} {request.job_class} {request.detail}"
            )
        attempts = sorted(by_token.pop(request.token, ()), key=lambda run: run.arrived)
        ran = [run for run in attempts if run.outcome != "returned"]
        if request.outcome == "served" and not any(run.outcome in ("done", "repeat") for run in ran):
            faults["served_unrun"].append(request.token)
        if request.outcome == "unfit" and ran:
            faults["unfit_but_ran"].append(request.token)
        if request.job_class == "book" and _may_have_run_twice(ran):
            faults["ran_twice_forbidden"].append(request.token)
        if any(
            later.arrived < (earlier.ended or float("inf")) - OVERLAP_S
            for place, earlier in enumerate(attempts)
            for later in attempts[place + 1 :]
        ):
            faults["two_outstanding"].append(
                f"{request.token}: "
                + "; ".join(
                    f"{run.planner} {run.arrived:.3f}..{run.ended:.3f} {run.outcome}" for run in attempts
                )
            )
        key = expected_key(request)
        changed = [
            f"{run.planner}: {run.key!r} {run.tenant!r} {run.remaining:.3f}"
            for run in attempts
            if run.key != key
            or run.tenant != request.tenant
            or run.job_class != request.job_class
            or not 0 < run.remaining <= request.timeout
        ]
        if changed:
            faults["envelope_changed"].append(f"{request.token}: " + "; ".join(changed))
    for token in by_token:
        faults["ran_unasked"].append(token)
    for member in members:
        for began, until in member.drains:
            late = [
                run for run in runs if run.planner == member.name and began + DRAIN_S < run.arrived < until
            ]
            faults["after_drain"] += [
                f"{run.token}: {member.name} {run.arrived - began:.3f} s" for run in late
            ]
    figures: dict[str, object] = {
        "sent": len(requests),
        "served": outcomes["served"],
        "refused": outcomes["refused"] + outcomes["unfit"],
        "failed": outcomes["failed"],
        "withdrawn": outcomes["withdrawn"],
        "unanswered": outcomes["unanswered"],
    }
    for name in MUST_BE_ZERO[1:]:
        figures[name] = len(faults[name])
    figures["of_refused_unfit"] = outcomes["unfit"]
    for name in ("wrong_result", "served_unrun", "unfit_but_ran", "envelope_changed", "ran_unasked"):
        figures[name] = len(faults[name])
    parts = sum(outcomes[name] for name in OUTCOMES) + outcomes["unfit"]
    figures["adds_up"] = parts == len(requests)
    figures["runs"] = dict(Counter(f"interface {run.interface} {run.outcome}" for run in runs))
    figures["clients"] = {
        kind: dict(Counter(request.outcome for request in requests if request.kind == kind))
        for kind in sorted({request.kind for request in requests})
    }
    figures["faults"] = {name: found[:20] for name, found in faults.items() if found}
    return figures


def broken_rules(figures: dict[str, object]) -> list[str]:
    """Return one line for each figure that must be zero and is not."""
    names = (
        *MUST_BE_ZERO,
        "wrong_result",
        "served_unrun",
        "unfit_but_ran",
        "envelope_changed",
        "ran_unasked",
    )
    return [f"{name} = {figures[name]}" for name in names if figures[name]] + (
        [] if figures["adds_up"] else ["the outcomes do not add up to the number of requests sent"]
    )


def _may_have_run_twice(ran: list[Run]) -> bool:
    """Whether a job with a key may have taken effect twice: in two zones, or twice in one zone with more
    time between than the window in which planners recognise a repeat.
    """
    if len({run.zone for run in ran}) > 1:
        return True
    return any(later.arrived - earlier.arrived > DEDUP_WINDOW_S for earlier in ran for later in ran)
