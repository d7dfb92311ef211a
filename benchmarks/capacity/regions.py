"""Regions apart and whole again, and all schedulers restarted in waves, in virtual time: how long until all
hold one view and the same settings, and what that costs. Network and counting are those of `schedulers`.
"""

from __future__ import annotations

import time
from collections.abc import Sequence

from benchmarks.capacity.records import Row
from benchmarks.capacity.schedulers import (
    QUIET_WITHIN,
    SETTLED_WITHIN,
    TEAMS,
    Play,
    TimeOverError,
    body,
    each,
    key,
    number_of,
)
from pipitshed.testbed.virtual_fleet import VirtualFleet, region
from pipitshed.testbed.virtual_network import Node

SLOPE = "regions"
SIZES = (40, 80, 150, 300)
LOST_REGION = "centro"
APART = 180.0  # virtual s: longer than a tombstone (120 s), so that each side has forgotten the other
RESTARTS, CHANGES = 17, 325  # on each side while they are apart
DOWN = 1.0  # virtual s that a restarted scheduler is gone
WAVES, WAVE_EVERY, WAVE_CHANGES = 10, 10.0, 20  # parts of the fleet, virtual s, changes between two


def restart(fleet: VirtualFleet, nodes: Sequence[Node]) -> None:
    """These end in good order and come back under their names, with the rows that their files kept."""
    for node in nodes:
        fleet.leave(node)
    fleet.run(DOWN)
    for node in nodes:
        again = fleet.start(node.address[1] - fleet.first_port, fleet.seeds)
        for row in node.tables[0]:
            again.tables[0].apply(row)


def side(fleet: VirtualFleet, lost: bool) -> list[Node]:
    """Who lives in the region that is cut off, or in the others."""
    return [
        node for node in fleet.nodes.values() if (region(fleet.zone(node.address)) == LOST_REGION) is lost
    ]


def differed(fleet: VirtualFleet) -> float:
    """Bytes of the rows and words that a scheduler lacks, in the mean."""
    newest = {row.key: row for node in fleet.nodes.values() for row in node.tables[0]}
    for node in fleet.nodes.values():
        newest |= {row.key: row for row in node.tables[0] if row.number > newest[row.key].number}
    lacked = 0
    for node in fleet.nodes.values():
        lacked += sum(row.size for name, row in newest.items() if number_of(node, name) < row.number)
        for other in fleet.nodes.values():
            held = node.membership.view.get(other.name)
            if (
                held is None
                or held.is_departed
                or held.instance_id != other.membership.self_record.instance_id
            ):
                lacked += other.membership.self_record.size
    return lacked / len(fleet.nodes)


def apart(play: Play) -> None:
    """A region is cut off, restarts and changes on both sides, and it is whole again."""
    fleet = play.fleet
    writers = {lost: side(fleet, lost)[-1] for lost in (True, False)}
    keys = {lost: [key(number) for number in range(lost, TEAMS, 2)] for lost in (True, False)}
    for lost, writer in writers.items():
        play.settings(writer, keys[lost])
    play.holds(fleet.quiescent, QUIET_WITHIN, 1.0)
    fleet.isolate_region(LOST_REGION)
    with play.counted() as spent:
        for number in range(RESTARTS):
            for lost in (True, False):
                restart(
                    fleet,
                    [fleet.rng.choice([node for node in side(fleet, lost) if node not in writers.values()])],
                )
                first, last = (CHANGES * (number + step) // RESTARTS for step in (0, 1))
                for change in range(first, last):
                    fleet.put(writers[lost], (keys[lost][change % len(keys[lost])], body(fleet)))
            play.run(APART / RESTARTS - 2 * DOWN)
    play.row("regions apart", spent, restarts=2.0 * RESTARTS, changes=2.0 * CHANGES)
    lacked = differed(fleet)
    fleet.heal()
    play.to_one_view("healed", differed_bytes=lacked)


def waves(play: Play) -> None:
    """All restart, a tenth at a time, with changes in between: whose rows are older than those it held?"""
    fleet = play.fleet
    nodes, older = list(fleet.nodes.values()), 0
    writer = nodes[-1].address
    play.settings(nodes[-1], [key(number) for number in range(TEAMS)])
    play.holds(fleet.quiescent, QUIET_WITHIN, 1.0)
    with play.counted() as spent:
        for wave in range(WAVES):
            going = [fleet.nodes[node.address] for node in nodes[wave::WAVES]]
            restart(fleet, going)
            play.run(WAVE_EVERY / 2)
            play.settings(
                fleet.nodes[writer],
                [key(number) for number in range(wave * WAVE_CHANGES, (wave + 1) * WAVE_CHANGES)],
            )
            play.run(WAVE_EVERY / 2 - DOWN)
            older += sum(
                number_of(fleet.nodes[node.address], row.key) < row.number
                for node in going
                for row in node.tables[0]
            )
        settled = play.holds(fleet.converged, SETTLED_WITHIN)
    told = {"rows_older": float(older), "changes": float(WAVES * WAVE_CHANGES)}
    why = "" if settled is not None else f"not one view after {SETTLED_WITHIN:.0f} virtual s"
    play.row("restart wave", spent, why, **told, settled_ms=(settled or 0.0) * 1000)


def cases(size: int, limit_s: float) -> list[Row]:
    """All cases of one size."""
    rows: list[Row] = []
    until = time.monotonic() + limit_s
    for case in (apart, waves):
        play = Play(VirtualFleet(seed=3), size, until, SLOPE, rows)
        try:
            play.fleet.fleet(size)
            play.holds(play.fleet.quiescent, QUIET_WITHIN, 1.0)
            case(play)
        except TimeOverError:
            rows.append(
                Row(
                    SLOPE,
                    size,
                    f"rest of {case.__name__}",
                    {},
                    False,
                    f"over the {limit_s:.0f} s it had",
                    virtual=True,
                )
            )
    return rows


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes."""
    return each(cases, sizes, limit_s)
