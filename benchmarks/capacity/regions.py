"""A partition between regions that heals, and a restart of all schedulers in waves, in virtual time: the time
until all schedulers have the same view and settings, and the cost. Network and counters are those of
`schedulers`.
"""

from __future__ import annotations

import time
from collections.abc import Sequence

from benchmarks.capacity.records import Row
from benchmarks.capacity.schedulers import (
    QUIET_TIMEOUT_S,
    SETTLE_TIMEOUT_S,
    TEAMS,
    FleetRun,
    TimeLimitError,
    key,
    quota_value,
    run_sizes,
    version_of,
)
from pipitshed.testbed.virtual_fleet import VirtualFleet, region
from pipitshed.testbed.virtual_network import Node

SLOPE = "regions"
SIZES = (40, 80, 150, 300)
LOST_REGION = "centro"
APART_S = 180.0  # virtual s; longer than a tombstone (120 s), so that each side forgets the other
RESTARTS, CHANGES = 17, 325  # on each side during the partition
DOWN_S = 1.0  # virtual s between stop and restart of a scheduler
WAVES, WAVE_INTERVAL_S, WAVE_CHANGES = 10, 10.0, 20  # count, virtual s, changes between two waves


def restart(fleet: VirtualFleet, nodes: Sequence[Node]) -> None:
    """Shut nodes down cleanly and start them under their old names with the rows that they had stored."""
    for node in nodes:
        fleet.leave(node)
    fleet.run(DOWN_S)
    for node in nodes:
        restarted_node = fleet.start(node.address[1] - fleet.first_port, fleet.seeds)
        for row in node.tables[0]:
            restarted_node.tables[0].apply(row)


def nodes_by_region(fleet: VirtualFleet, lost: bool) -> list[Node]:
    """The nodes of the region that is cut off (`lost`), or those of the other regions."""
    return [
        node for node in fleet.nodes.values() if (region(fleet.zone(node.address)) == LOST_REGION) is lost
    ]


def missing_bytes(fleet: VirtualFleet) -> float:
    """Mean bytes of the rows and member records that a scheduler lacks."""
    newest = {row.key: row for node in fleet.nodes.values() for row in node.tables[0]}
    for node in fleet.nodes.values():
        newest |= {row.key: row for row in node.tables[0] if row.number > newest[row.key].number}
    lacked = 0
    for node in fleet.nodes.values():
        lacked += sum(row.size for name, row in newest.items() if version_of(node, name) < row.number)
        for other in fleet.nodes.values():
            held = node.membership.view.get(other.name)
            if (
                held is None
                or held.is_departed
                or held.instance_id != other.membership.self_record.instance_id
            ):
                lacked += other.membership.self_record.size
    return lacked / len(fleet.nodes)


def apart(run: FleetRun) -> None:
    """Cut a region off, restart schedulers and change settings on both sides, then heal the partition."""
    fleet = run.fleet
    writers = {lost: nodes_by_region(fleet, lost)[-1] for lost in (True, False)}
    keys = {lost: [key(number) for number in range(lost, TEAMS, 2)] for lost in (True, False)}
    for lost, writer in writers.items():
        run.put_quotas(writer, keys[lost])
    run.wait_until(fleet.quiescent, QUIET_TIMEOUT_S, 1.0)
    fleet.isolate_region(LOST_REGION)
    with run.measured() as cost:
        for number in range(RESTARTS):
            for lost in (True, False):
                restart(
                    fleet,
                    [
                        fleet.rng.choice(
                            [node for node in nodes_by_region(fleet, lost) if node not in writers.values()]
                        )
                    ],
                )
                first, last = (CHANGES * (number + step) // RESTARTS for step in (0, 1))
                for change in range(first, last):
                    fleet.put(writers[lost], (keys[lost][change % len(keys[lost])], quota_value(fleet)))
            run.advance(APART_S / RESTARTS - 2 * DOWN_S)
    run.row("regions apart", cost, restarts=2.0 * RESTARTS, changes=2.0 * CHANGES)
    lacked = missing_bytes(fleet)
    fleet.heal()
    run.measure_convergence("healed", differed_bytes=lacked)


def waves(run: FleetRun) -> None:
    """Restart all schedulers, a tenth at a time, with settings changes in between; count the rows that are
    older after a scheduler's restart than before."""
    fleet = run.fleet
    nodes, older = list(fleet.nodes.values()), 0
    writer = nodes[-1].address
    run.put_quotas(nodes[-1], [key(number) for number in range(TEAMS)])
    run.wait_until(fleet.quiescent, QUIET_TIMEOUT_S, 1.0)
    with run.measured() as cost:
        for wave in range(WAVES):
            restarted = [fleet.nodes[node.address] for node in nodes[wave::WAVES]]
            restart(fleet, restarted)
            run.advance(WAVE_INTERVAL_S / 2)
            run.put_quotas(
                fleet.nodes[writer],
                [key(number) for number in range(wave * WAVE_CHANGES, (wave + 1) * WAVE_CHANGES)],
            )
            run.advance(WAVE_INTERVAL_S / 2 - DOWN_S)
            older += sum(
                version_of(fleet.nodes[node.address], row.key) < row.number
                for node in restarted
                for row in node.tables[0]
            )
        settled = run.wait_until(fleet.converged, SETTLE_TIMEOUT_S)
    extra_figures = {"rows_older": float(older), "changes": float(WAVES * WAVE_CHANGES)}
    why = "" if settled is not None else f"not one view after {SETTLE_TIMEOUT_S:.0f} virtual s"
    run.row("restart wave", cost, why, **extra_figures, settled_ms=(settled or 0.0) * 1000)


def cases(size: int, limit_s: float) -> list[Row]:
    """The rows of all cases of one size."""
    rows: list[Row] = []
    until = time.monotonic() + limit_s
    for case in (apart, waves):
        run = FleetRun(VirtualFleet(seed=3), size, until, SLOPE, rows)
        try:
            run.fleet.fleet(size)
            run.wait_until(run.fleet.quiescent, QUIET_TIMEOUT_S, 1.0)
            case(run)
        except TimeLimitError:
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
    """The rows of these sizes (schedulers)."""
    return run_sizes(cases, sizes, limit_s)
