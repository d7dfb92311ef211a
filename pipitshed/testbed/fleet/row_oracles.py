"""Checks of the settings in a scenario run: `in force` is true, and no process returns to an older row."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

from pipitshed.testbed.fleet.oracles import (
    DISRUPTION_MARGIN_S,
    InForce,
    Instance,
    Logs,
    Version,
    live_instances,
)
from pipitshed.testbed.fleet.scenario import LINKS, process_zone

NONE: Version = (0, 0)


def version_acted_on(instance: Instance, key: str, when: float) -> Version:
    """The version of a row that a process acted on at a time; NONE before the first."""
    version = NONE
    for at, rows in instance.acting:
        if at > when:
            break
        version = rows.get(key, version)
    return version


def check_no_regression(logs: Logs) -> list[str]:
    """Return where a process acted on an older row than before, also over restarts that kept the folder."""
    wrong = []
    by_place: dict[int, list[Instance]] = {}
    for instance in sorted(logs.instances, key=lambda instance: instance.spawned):
        by_place.setdefault(instance.place, []).append(instance)
        acted_on: dict[str, Version] = {}
        for _, rows in instance.acting:
            wrong += [
                f"{instance.name}: {key} went back from version {acted_on[key]} to {version}"
                for key, version in rows.items()
                if version < acted_on.get(key, NONE)
            ]
            acted_on |= rows
    for starts in by_place.values():
        for before, after in pairwise(starts):
            if not after.disk or not after.started:
                continue
            keys = {key for _, rows in before.acting for key in rows}
            for key in sorted(keys):
                previous, current = (
                    version_acted_on(before, key, float("inf")),
                    version_acted_on(after, key, after.started),
                )
                if current < previous:
                    wrong.append(f"{after.name} started with {key} at {current}, and had acted on {previous}")
    return wrong


def _in_contact(
    logs: Logs, claim: InForce, writer: Instance, other: Instance, settle: float, zones: int
) -> bool:
    """Whether neither process nor the link between them had a fault for `settle` seconds before a claim."""
    since = claim.when - settle
    for instance in (writer, other):
        if not instance.started or instance.started > since:
            return False
        if instance.ended is not None and instance.ended <= claim.when + DISRUPTION_MARGIN_S:
            return False
        if any(
            paused_at <= claim.when + DISRUPTION_MARGIN_S and resumed_at >= since
            for paused_at, resumed_at in instance.paused
        ):
            return False
    for fault in logs.faults:
        if fault["do"] not in (*LINKS, "cut-zone"):
            continue
        if fault["t"] > claim.when or fault["t"] + fault.get("for", 0.0) < since:
            continue
        if fault["do"] == "cut-zone":
            if len({process_zone(instance.place, zones) in fault["a"] for instance in (writer, other)}) == 2:
                return False
        elif {writer.name, other.name} & {*fault["a"], *fault.get("b", ())}:
            return False
    return True


def check_in_force(logs: Logs, settle: float, zones: int) -> list[str]:
    """Return each claim that a row is in force which a reachable process did not act on at that time."""
    by_life = {(instance.name, instance.life): instance for instance in logs.instances}
    wrong = []
    for writer in logs.instances:
        for claim in writer.in_force:
            row = f"{claim.key} {claim.version} of {writer.name}"
            for name, life in claim.acting.items():
                instance = by_life.get((name, life))
                if instance is None or version_acted_on(instance, claim.key, claim.when) < claim.version:
                    wrong.append(f"{row} was reported to be in force, and {name} did not act on it")
            for instance in logs.instances:
                if (
                    instance.name not in claim.acting
                    and version_acted_on(instance, claim.key, claim.when) < claim.version
                    and _in_contact(logs, claim, writer, instance, settle, zones)
                ):
                    wrong.append(
                        f"{row} was reported to be in force, without {instance.name}, which was reachable"
                    )
    return wrong


def settled(logs: Logs) -> list[str]:
    """Return where running processes act on different rows now, or on older ones than were in force."""
    wrong = []
    alive = live_instances(logs)
    acted_on = [
        {
            key: version_acted_on(instance, key, float("inf"))
            for key in {key for _, rows in instance.acting for key in rows}
        }
        for instance in alive
    ]
    for instance, rows in zip(alive, acted_on, strict=True):
        if rows != acted_on[0]:
            wrong.append(
                f"{instance.name} acts on {sorted(rows.items() - acted_on[0].items())} where {alive[0].name} "
                f"acts on {sorted(acted_on[0].items() - rows.items())}"
            )
    for writer in logs.instances:
        for claim in writer.in_force:
            if acted_on and acted_on[0].get(claim.key, NONE) < claim.version:
                wrong.append(f"{claim.key} {claim.version} was in force, and is no longer acted on")
    return wrong


def figures(logs: Logs) -> dict[str, Any]:
    """Number of changes by outcome, and seconds until a change was in force: median and maximum."""
    took = sorted(put["took"] for put in logs.puts if put["how"] == "in force")
    result = {
        f"puts_{how.replace(' ', '_')}": sum(put["how"] == how for put in logs.puts)
        for how in ("in force", "not in force", "superseded", "refused", "unanswered")
    }
    if took:
        result |= {"in_force_p50_s": round(took[len(took) // 2], 3), "in_force_worst_s": round(took[-1], 3)}
    return result
