"""What the settings of a play must have shown: `in force` is exact, and nobody goes back to an older row."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

from pipitshed.testbed.fleet.oracles import (
    DISRUPTION_MARGIN,
    InForce,
    Instance,
    Logs,
    Version,
    live_instances,
)
from pipitshed.testbed.fleet.scenario import LINKS, process_zone

NONE: Version = (0, 0)


def version_acted_on(one: Instance, key: str, when: float) -> Version:
    """The version of a row that a process acted on at a time."""
    version = NONE
    for at, rows in one.acting:
        if at > when:
            break
        version = rows.get(key, version)
    return version


def check_no_regression(logs: Logs) -> list[str]:
    """Where a process acted on an older row than before, over restarts that found their folder too."""
    wrong = []
    by_place: dict[int, list[Instance]] = {}
    for one in sorted(logs.instances, key=lambda one: one.spawned):
        by_place.setdefault(one.place, []).append(one)
        held: dict[str, Version] = {}
        for _, rows in one.acting:
            wrong += [
                f"{one.name} went back at {key} from {held[key]} to {version}"
                for key, version in rows.items()
                if version < held.get(key, NONE)
            ]
            held |= rows
    for starts in by_place.values():
        for before, after in pairwise(starts):
            if not after.disk or not after.started:
                continue
            keys = {key for _, rows in before.acting for key in rows}
            for key in sorted(keys):
                was, then = (
                    version_acted_on(before, key, float("inf")),
                    version_acted_on(after, key, after.started),
                )
                if then < was:
                    wrong.append(f"{after.name} started with {key} at {then}, and had acted on {was}")
    return wrong


def _in_contact(
    logs: Logs, claim: InForce, writer: Instance, other: Instance, settle: float, zones: int
) -> bool:
    """Whether nothing was done to either of two, or to what is between them, for a while before."""
    since = claim.when - settle
    for one in (writer, other):
        if not one.started or one.started > since:
            return False
        if one.ended is not None and one.ended <= claim.when + DISRUPTION_MARGIN:
            return False
        if any(left <= claim.when + DISRUPTION_MARGIN and back >= since for left, back in one.paused):
            return False
    for fault in logs.faults:
        if fault["do"] not in (*LINKS, "cut-zone"):
            continue
        if fault["t"] > claim.when or fault["t"] + fault.get("for", 0.0) < since:
            continue
        if fault["do"] == "cut-zone":
            if len({process_zone(one.place, zones) in fault["a"] for one in (writer, other)}) == 2:
                return False
        elif {writer.name, other.name} & {*fault["a"], *fault.get("b", ())}:
            return False
    return True


def check_in_force(logs: Logs, settle: float, zones: int) -> list[str]:
    """Where `in force` was said of a row that one in touch did not act on at that moment."""
    by_life = {(one.name, one.life): one for one in logs.instances}
    wrong = []
    for writer in logs.instances:
        for claim in writer.in_force:
            row = f"{claim.key} {claim.version} of {writer.name}"
            for name, life in claim.acting.items():
                one = by_life.get((name, life))
                if one is None or version_acted_on(one, claim.key, claim.when) < claim.version:
                    wrong.append(f"{row} was said to be in force, and {name} did not act on it")
            for one in logs.instances:
                if (
                    one.name not in claim.acting
                    and version_acted_on(one, claim.key, claim.when) < claim.version
                    and _in_contact(logs, claim, writer, one, settle, zones)
                ):
                    wrong.append(f"{row} was said to be in force, without {one.name}, which was in touch")
    return wrong


def settled(logs: Logs) -> list[str]:
    """Where those that live do not act on the same rows now, or on older ones than were in force."""
    wrong = []
    alive = live_instances(logs)
    held = [
        {
            key: version_acted_on(one, key, float("inf"))
            for key in {key for _, rows in one.acting for key in rows}
        }
        for one in alive
    ]
    for one, rows in zip(alive, held, strict=True):
        if rows != held[0]:
            wrong.append(
                f"{one.name} acts on {sorted(rows.items() - held[0].items())} where {alive[0].name} "
                f"acts on {sorted(held[0].items() - rows.items())}"
            )
    for writer in logs.instances:
        for claim in writer.in_force:
            if held and held[0].get(claim.key, NONE) < claim.version:
                wrong.append(f"{claim.key} {claim.version} was in force, and is gone")
    return wrong


def figures(logs: Logs) -> dict[str, Any]:
    """How the changes ended, and how long one took until it was in force (s)."""
    took = sorted(put["took"] for put in logs.puts if put["how"] == "in force")
    told = {
        f"puts_{how.replace(' ', '_')}": sum(put["how"] == how for put in logs.puts)
        for how in ("in force", "not in force", "superseded", "refused", "unanswered")
    }
    if took:
        told |= {"in_force_p50_s": round(took[len(took) // 2], 3), "in_force_worst_s": round(took[-1], 3)}
    return told
