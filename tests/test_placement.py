"""Plans: solved, in conflict, checked, explained, learnt; and followed by the scheduler."""

import asyncio
import json
import math
import random
import time
from pathlib import Path

import pytest
from click.testing import CliRunner
from loopback import HttpClient, Planner, long_story, program

from benchmarks.placement_proof import check_fleet
from pipitshed.cli.commands import main
from pipitshed.placement import plan as plans
from pipitshed.placement.explain import explain
from pipitshed.placement.follow import STEP, Follower
from pipitshed.placement.learn import learn
from pipitshed.placement.model import Constraints, Demand, Fleet, FleetError, Floor, read
from pipitshed.placement.model import Planner as Machine
from pipitshed.placement.plan import Place, Plan, PlanError
from pipitshed.placement.score import score
from pipitshed.placement.solve import solve
from pipitshed.scheduling.events import EndpointEntry, EndpointState

LIMA = (Path(__file__).parent.parent / "experiments" / "fleet-lima.toml").read_text()
QUOTE = Demand("quote", 4.0, 0.5, "x", zone="a")


def fleet(
    *planners: Machine, demand: tuple[Demand, ...] = (QUOTE,), units: int = 12, **more: object
) -> Fleet:
    return Fleet(planners, (), demand, Constraints(**more), units)  # type: ignore[arg-type]


@pytest.mark.parametrize("first", [0, 40, 80, 120])
def test_the_solver_equals_exhaustive_search(first: int) -> None:
    """Feasible where it is, with the same goals; where not, the conflict is smallest."""
    for seed in range(first, first + 10):
        how, what = check_fleet(seed)
        assert how != "fault", what


def test_a_zone_short_of_capacity_is_named_with_what_is_missing() -> None:
    told = fleet(Machine("p1", "a"), Machine("p2", "b", speed=0.1), headroom="zone")
    answer = solve(told)
    assert any("without a" in name for name in answer.conflict)
    # Of 2 s of slots a second p2 does 0.8: with a lost, it would need one and a half times as many more.
    assert answer.conflict["slots of p2 without a"] == "12 slots in b"
    assert answer.relaxed and answer.parts  # and the plan that oversteps least is offered


def test_memory_that_runs_out_before_slots() -> None:
    heavy = Demand("book", 1.0, 4.0, memory=2.0, zone="a")
    tight, wide = Machine("p1", "a", memory=2.0), Machine("p2", "a", memory=100.0)
    parts = solve(fleet(tight, wide, demand=(heavy,), units=12)).parts or {}
    assert parts["a/book"].get("p2", 0) > parts["a/book"].get("p1", 0)
    answer = solve(fleet(tight, demand=(heavy,)))
    assert any(name.startswith("memory of p1") for name in answer.conflict)


def test_jobs_of_four_slots_go_where_four_are() -> None:
    wide = Demand("book", 1.0, 1.0, slots=4.0, zone="a")
    parts = solve(fleet(Machine("p1", "a", slots=3.0), Machine("p2", "a"), demand=(wide,))).parts
    assert parts == {"a/book": {"p2": 12}}
    answer = solve(fleet(Machine("p1", "a", slots=3.0), demand=(wide,)))
    assert answer.conflict == {"all of a/book is placed": "1 jobs a second from a"}


def test_fleets_that_are_nearly_tied_do_not_flap() -> None:
    """One part in a million, either way round, and the plan in force stands."""
    even = [Machine(f"p{place}", "a") for place in range(4)]
    before = solve(fleet(*even)).parts or {}
    assert before == solve(fleet(*reversed(even))).parts
    for place in range(4):
        tilted = [
            Machine(one.id, "a", speed=1.0 + 1e-6 * (number == place)) for number, one in enumerate(even)
        ]
        assert solve(fleet(*tilted), before).parts == before


def test_the_edges_of_the_model() -> None:
    alone = fleet(Machine("p1", "b"))  # no planner in the jobs' own zone
    assert solve(alone).parts == {"a/quote": {"p1": 12}}
    assert solve(fleet(Machine("p1", "a"), demand=())).parts == {}
    idle = fleet(Machine("p1", "a"), demand=(Demand("quote", 0.0, 0.5, zone="a"),))
    assert solve(idle).parts == {} and not score(idle, {}, 12).broken
    for scale in (1e-9, 1e-3, 1e6):
        pair = [
            Machine("p1", "a", cores=4 * scale, slots=32 * max(1, scale)),
            Machine("p2", "a", cores=2 * scale, slots=32 * max(1, scale)),
        ]
        parts = solve(fleet(*pair, demand=(Demand("quote", scale * 4, 0.5, zone="a"),))).parts
        assert parts == {"a/quote": {"p1": 8, "p2": 4}}, scale
    shares = fleet(Machine("p1", "a"), floors=(Floor("y", 0.9),))
    assert list(solve(shares).conflict) == ["share of y"]
    many = fleet(
        *(Machine(f"p{place:03d}", "a") for place in range(300)),
        units=10,
        demand=(Demand("quote", 100.0, 0.5, zone="a"),),
    )
    answer = solve(many)
    assert len((answer.parts or {})["a/quote"]) == 300  # no weight has rounded to nothing


@pytest.mark.parametrize(
    ("old", "new", "what"),
    [
        ('id = "planner-2"', 'id = "planner-1"', "no id of its own"),
        ("speed = 0.55", "speed = 0.0", "speed"),
        ("speed = 0.55", "speed = 1e12", "speed"),
        ("share = 0.13", "share = 1.3", "add up to 1.3"),
        ("work = 1.2", "work = -1.2", "work"),
        ("most = 0.5", "most = 0.0", "most"),
        ("units = 1000", "units = 0", "units"),
        ('class = "book"', 'klass = "book"', "klass"),
        ("[constraints]", "[constraints", "line"),
    ],
)
def test_a_fleet_that_cannot_be_used_is_told_by_its_line(old: str, new: str, what: str) -> None:
    with pytest.raises(FleetError, match=what):
        read(LIMA.replace(old, new, 1))


def test_the_duals_say_what_one_more_core_is_worth() -> None:
    """Against the same fleet with that much more, solved anew."""
    told = read(LIMA)
    worths = [one for one in explain(told) if one.binds]
    assert worths
    base = solve(told, whole=False).goals[0]
    top = worths[0]
    grown = tuple(
        Machine(
            one.id,
            one.zone,
            one.model,
            one.cores + 0.01 * (one.id == top.planner),
            one.speed,
            one.slots,
            one.memory,
        )
        for one in told.planners
    )
    gained = (
        base
        - solve(Fleet(grown, told.schedulers, told.demand, told.constraints, told.units), whole=False).goals[
            0
        ]
    )
    assert gained / 0.01 == pytest.approx(top.one_more, rel=0.1)


def test_learning_finds_speeds_and_work_with_their_uncertainty() -> None:
    rng = random.Random(5)
    speed, work = {"p1": 1.6, "p2": 1.0, "p3": 0.625}, {"quote": 0.3, "book": 1.2}
    lines = []
    for number in range(3000):
        planner, job_class = rng.choice(list(speed)), rng.choice(list(work))
        ran = work[job_class] / speed[planner] * math.exp(rng.gauss(0, 0.4))
        lines.append(
            json.dumps(
                {
                    "event": "attempt",
                    "planner": planner,
                    "class": job_class,
                    "tenant": "x",
                    "at": number / 10,
                    "ran": ran,
                    "outcome": "OK",
                }
            ).encode()
        )
    found = learn([*lines, b"INFO no such line", b'{"event":"attempt","outcome":"RESET"}'])
    assert found.skipped == 2
    for name, value in speed.items():
        one = found.speed[name]
        assert abs(math.log(one.value / value)) < 2 * math.log(one.factor) and one.factor < 1.06
    assert found.work["book"].value / found.work["quote"].value == pytest.approx(4.0, rel=0.05)
    assert sum(one.value for one in found.rate.values()) == pytest.approx(10.0, rel=0.02)


# ---- the plan's file, and following it


def plan(parts: dict[str, int], number: int = 1, made: float = 1000.0, **more: object) -> Plan:
    return Plan(
        1,
        number,
        made,
        100.0,
        sum(parts.values()),
        {name: Place("a", "m", 4.0) for name in parts},
        {"a/quote": parts},
        **more,
    )  # type: ignore[arg-type]


def entry(
    name: str, weight: float = 1.0, state: EndpointState = EndpointState.READY, started: float = 0.0
) -> EndpointEntry:
    return EndpointEntry(name.encode(), weight=weight, state=state, started_at_ms=started)


def eased(follower: Follower, entries: list[EndpointEntry], now: float = 1000.0) -> dict[str, float]:
    """Step until nothing moves; each step within its bound."""
    last: dict[str, float] | None = None
    for _ in range(40):
        weights = follower.weights(entries, now) or {}
        parts = {worker.decode(): told[0] / 100_000 for worker, told in weights.items()}
        if last is not None and last.keys() == parts.keys():
            assert sum(abs(parts[name] - last[name]) for name in parts) / 2 <= STEP + 1e-9
            if max((abs(parts[name] - last[name]) for name in parts), default=0) < 1e-12:
                break
        last = parts
    return last or {}


def test_a_file_that_is_half_written_or_changed_is_turned_down() -> None:
    data = plans.write(plan({"p1": 3, "p2": 1}))
    assert plans.read(data).parts == {"a/quote": {"p1": 3, "p2": 1}}
    for spoilt in (
        data[:-40],
        b"",
        data.replace(b'"p1": 3', b'"p1": 2'),
        data.replace(b'"format": 1', b'"format": 9'),
    ):
        assert spoilt != data
        with pytest.raises(PlanError):
            plans.read(spoilt)


def test_a_plan_is_followed_by_steps_and_dropped_at_its_end() -> None:
    follower, listed = Follower("a", ["quote"]), [entry("p1"), entry("p2")]
    assert follower.weights(listed, 1000.0) is None
    follower.offer(plan({"p1": 9, "p2": 1}), 1000.0, listed)
    assert eased(follower, listed) == pytest.approx({"p1": 0.9, "p2": 0.1})
    for number, made, why in [(0, 1000.0, "older"), (2, 800.0, "outlived")]:
        with pytest.raises(PlanError, match=why):
            follower.offer(plan({"p1": 1, "p2": 9}, number, made), 1000.0, listed)
    with pytest.raises(PlanError, match="another fleet"):
        follower.offer(plan({"q1": 1}, 3), 1000.0, listed)
    assert eased(follower, listed) == pytest.approx({"p1": 0.9, "p2": 0.1})
    assert follower.weights(listed, 1101.0) is None


def test_strangers_leavers_and_cold_planners() -> None:
    follower = Follower("a", ["quote"], cold=5000.0)
    listed = [entry("p1", 2.0), entry("p2", 1.0), entry("p3", 1.0)]
    follower.offer(plan({"p1": 6, "p2": 3}), 1000.0, listed)
    assert eased(follower, listed) == pytest.approx({"p1": 0.5, "p2": 0.25, "p3": 0.25})
    gone = [entry("p1", state=EndpointState.DRAINING), *listed[1:]]
    first = follower.weights(gone, 1000.0) or {}
    assert sum(told[0] for told in first.values()) == pytest.approx(100_000)  # its part is free at once
    back = [entry("p1", 1.0, started=999_000.0), *listed[1:]]
    assert eased(follower, back, 1000.0)["p1"] <= 1 / 3 + 1e-9
    assert eased(follower, back, 1005.0)["p1"] > 0.4


def test_a_planner_that_flaps_while_a_plan_is_eased_in_never_takes_more_than_a_step() -> None:
    follower = Follower("a", ["quote"])
    both, one = [entry("p1"), entry("p2")], [entry("p2")]
    follower.offer(plan({"p1": 10, "p2": 0}), 1000.0, both)
    for turn in range(20):
        weights = follower.weights(both if turn % 2 else one, 1000.0) or {}
        if turn % 2:
            assert weights[b"p1"][0] <= STEP * 100_000 + 1e-6


@long_story
async def test_serve_follows_a_plan_and_a_half_written_one_changes_nothing() -> None:
    folder = Path(__file__).parent / "made-plans"
    folder.mkdir(exist_ok=True)
    path = folder / "plan.json"
    now = time.time()
    parts = {"lima-norte/quote": {"p1": 0, "p2": 1000}}
    places = {name: Place("lima-norte", "m", 4.0) for name in ("p1", "p2")}

    def made(number: int, p1: int) -> bytes:
        held = {"lima-norte/quote": {"p1": p1, "p2": 1000 - p1}}
        return plans.write(Plan(1, number, now, 600.0, 1000, places, held or parts))

    try:
        path.write_bytes(made(1, 0))
        async with (
            Planner("p1") as first,
            Planner("p2") as second,
            program(
                first, second, front=f'[placement]\nplan = "{path}"\n', settings={"discovery": "pushed"}
            ) as running,
        ):
            client = await HttpClient.to(running.port)

            async def ask(count: int) -> tuple[int, int]:
                before = len(first.runs), len(second.runs)
                for _ in range(count):
                    client.ask(f"a{len(first.runs) + len(second.runs)}")
                    assert (await client.answer())[0] == 200
                return len(first.runs) - before[0], len(second.runs) - before[1]

            await ask(1)
            await asyncio.sleep(5.5)  # half of the load, a tenth a second
            assert (await ask(30))[1] == 30
            path.write_bytes(made(2, 1000)[:-30])
            running.process.send_signal(1)
            await running.logged("the current plan stays")
            assert (await ask(10))[1] == 10
            path.write_bytes(made(2, 1000))
            running.process.send_signal(1)
            await running.logged("following plan number 2")
            await asyncio.sleep(10.5)
            assert (await ask(30))[0] == 30
            config = json.loads(running.config.read_text())
            config["settings"]["services"][0] = config["settings"]["services"][0] | {"goalTime": 2000.0}
            running.reload(json.dumps(config))  # the class has another number from now on
            await running.logged("changed quote")
            assert (await ask(10))[0] == 10
    finally:
        path.unlink(missing_ok=True)
        folder.rmdir()


def test_the_commands(tmp_path: Path) -> None:
    def call(*words: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["place", *words])
        return result.exit_code, result.output

    told, out, other = tmp_path / "fleet.toml", tmp_path / "a.json", tmp_path / "b.json"
    told.write_text(LIMA)
    code, text = call("solve", str(told), "-o", str(out))
    assert code == 0 and "number 1" in text
    assert call("check", str(out), "--fleet", str(told))[0] == 0
    assert "cores" in call("explain", str(told))[1]
    told.write_text(LIMA.replace("speed = 1.6", "speed = 0.8"))
    code, text = call("solve", str(told), "-o", str(other), "--before", str(out))
    assert code == 0 and "number 2" in text
    assert "planner-1" in call("diff", str(out), str(other))[1]
    told.write_text(LIMA.replace("rate = 3.0", "rate = 300.0"))
    code, text = call("solve", str(told), "-o", str(other))
    assert code == 1 and "in conflict" in text and "RELAXED" in text
    assert call("check", str(other), "--fleet", str(told))[0] == 1
    told.write_text("planners = 3")
    code, text = call("solve", str(told), "-o", str(other))
    assert code == 2 and "Traceback" not in text


def test_check_says_what_a_plan_is_worth(tmp_path: Path) -> None:
    assert CliRunner().invoke(main, ["init", str(tmp_path)]).exit_code == 0
    front, path = tmp_path / "front.toml", tmp_path / "plan.json"
    front.write_text(front.read_text() + '\n[placement]\nplan = "plan.json"\n')

    def check() -> tuple[int, str]:
        result = CliRunner().invoke(
            main, ["check", "--front", str(front)], env={"LB_CONFIG": str(tmp_path / "config.json")}
        )
        return result.exit_code, result.output

    assert check()[0] == 2
    path.write_bytes(plans.write(plan({"p1": 1}, 7)))
    code, text = check()
    assert code == 0 and "plan 7 followed" in text
    path.write_bytes(path.read_bytes()[:-20])
    code, text = check()
    assert code == 2 and "is no plan" in text and text.count("\n") == 1
