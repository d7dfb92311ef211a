"""Placement plans: solving, conflicts, scoring, explaining, learning, and how a scheduler follows a plan."""

import asyncio
import json
import math
import random
import time
from pathlib import Path

import pytest
from click.testing import CliRunner
from loopback import HttpClient, Planner, program, slow_async_test

from benchmarks.placement_proof import check_fleet
from pipitshed.cli.commands import main
from pipitshed.placement import plan as plans
from pipitshed.placement.explain import explain
from pipitshed.placement.follow import MAX_LOAD_SHIFT_PER_STEP, Follower
from pipitshed.placement.learn import learn
from pipitshed.placement.model import Constraints, Demand, Fleet, FleetError, Floor, read
from pipitshed.placement.model import Planner as Machine
from pipitshed.placement.plan import Plan, PlanError, PlannerEntry
from pipitshed.placement.score import score
from pipitshed.placement.solve import solve
from pipitshed.scheduling.events import EndpointEntry, EndpointState

LIMA = (Path(__file__).parent.parent / "experiments" / "fleet-lima.toml").read_text()
QUOTE = Demand("quote", 4.0, 0.5, "x", zone="a")


def fleet(
    *planners: Machine, demand: tuple[Demand, ...] = (QUOTE,), units: int = 12, **constraints: object
) -> Fleet:
    return Fleet(planners, (), demand, Constraints(**constraints), units)  # type: ignore[arg-type]


@pytest.mark.parametrize("first", [0, 40, 80, 120])
def test_the_solver_equals_exhaustive_search(first: int) -> None:
    """The solver finds plans with the same goal values, or a minimal conflict if there is no plan."""
    for seed in range(first, first + 10):
        verdict, message = check_fleet(seed)
        assert verdict != "fault", message


def test_conflict_names_the_zone_and_the_missing_capacity() -> None:
    two_zones = fleet(Machine("p1", "a"), Machine("p2", "b", speed=0.1), headroom="zone")
    result = solve(two_zones)
    assert any("without a" in name for name in result.conflict)
    # The jobs take 2 s of slots per second and p2 provides 0.8: without a, it lacks 1.5 times its 8 slots.
    assert result.conflict["slots of p2 without a"] == "12 slots in b"
    assert result.relaxed and result.parts  # the plan with the least violation


def test_memory_limits_a_planner_before_its_slots_do() -> None:
    heavy = Demand("book", 1.0, 4.0, memory=2.0, zone="a")
    small, large = Machine("p1", "a", memory=2.0), Machine("p2", "a", memory=100.0)
    parts = solve(fleet(small, large, demand=(heavy,), units=12)).parts or {}
    assert parts["a/book"].get("p2", 0) > parts["a/book"].get("p1", 0)
    result = solve(fleet(small, demand=(heavy,)))
    assert any(name.startswith("memory of p1") for name in result.conflict)


def test_jobs_go_only_to_planners_with_enough_slots() -> None:
    four_slots = Demand("book", 1.0, 1.0, slots=4.0, zone="a")
    parts = solve(fleet(Machine("p1", "a", slots=3.0), Machine("p2", "a"), demand=(four_slots,))).parts
    assert parts == {"a/book": {"p2": 12}}
    result = solve(fleet(Machine("p1", "a", slots=3.0), demand=(four_slots,)))
    assert result.conflict == {"all of a/book is placed": "1 jobs a second from a"}


def test_nearly_equal_planners_do_not_change_the_plan() -> None:
    """The order of the planners, or a speed that is higher by one millionth, must not move any jobs."""
    equal = [Machine(f"p{index}", "a") for index in range(4)]
    before = solve(fleet(*equal)).parts or {}
    assert before == solve(fleet(*reversed(equal))).parts
    for index in range(4):
        tilted = [
            Machine(planner.id, "a", speed=1.0 + 1e-6 * (number == index))
            for number, planner in enumerate(equal)
        ]
        assert solve(fleet(*tilted), before).parts == before


def test_edge_cases_of_the_model() -> None:
    other_zone = fleet(Machine("p1", "b"))  # no planner in the jobs' own zone
    assert solve(other_zone).parts == {"a/quote": {"p1": 12}}
    assert solve(fleet(Machine("p1", "a"), demand=())).parts == {}
    idle = fleet(Machine("p1", "a"), demand=(Demand("quote", 0.0, 0.5, zone="a"),))
    assert solve(idle).parts == {} and not score(idle, {}, 12).violations
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
        *(Machine(f"p{index:03d}", "a") for index in range(300)),
        units=10,
        demand=(Demand("quote", 100.0, 0.5, zone="a"),),
    )
    result = solve(many)
    assert len((result.parts or {})["a/quote"]) == 300  # no weight was rounded to 0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('id = "planner-2"', 'id = "planner-1"', "has no unique id"),
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
def test_invalid_fleet_file_is_rejected(old: str, new: str, message: str) -> None:
    with pytest.raises(FleetError, match=message):
        read(LIMA.replace(old, new, 1))


def test_gain_per_unit_equals_that_of_a_larger_fleet_solved_anew() -> None:
    """Compares the duals with the change of the worst use when the top planner has 0.01 more cores."""
    lima = read(LIMA)
    binding = [entry for entry in explain(lima) if entry.binds]
    assert binding
    base = solve(lima, whole=False).goals[0]
    top = binding[0]
    enlarged = tuple(
        Machine(
            entry.id,
            entry.zone,
            entry.model,
            entry.cores + 0.01 * (entry.id == top.planner),
            entry.speed,
            entry.slots,
            entry.memory,
        )
        for entry in lima.planners
    )
    gain = (
        base
        - solve(
            Fleet(enlarged, lima.schedulers, lima.demand, lima.constraints, lima.units), whole=False
        ).goals[0]
    )
    assert gain / 0.01 == pytest.approx(top.gain_per_unit, rel=0.1)


def test_learn_estimates_speeds_and_work_with_their_uncertainty() -> None:
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
    learnt = learn([*lines, b"INFO no such line", b'{"event":"attempt","outcome":"RESET"}'])
    assert learnt.skipped == 2
    for name, value in speed.items():
        estimate = learnt.speed[name]
        assert (
            abs(math.log(estimate.value / value)) < 2 * math.log(estimate.factor) and estimate.factor < 1.06
        )
    assert learnt.work["book"].value / learnt.work["quote"].value == pytest.approx(4.0, rel=0.05)
    assert sum(estimate.value for estimate in learnt.rate.values()) == pytest.approx(10.0, rel=0.02)


# ---- the plan file, and following a plan


def plan(parts: dict[str, int], number: int = 1, made: float = 1000.0, **fields: object) -> Plan:
    return Plan(
        1,
        number,
        made,
        100.0,
        sum(parts.values()),
        {name: PlannerEntry("a", "m", 4.0) for name in parts},
        {"a/quote": parts},
        **fields,
    )  # type: ignore[arg-type]


def entry(
    name: str, weight: float = 1.0, state: EndpointState = EndpointState.READY, started: float = 0.0
) -> EndpointEntry:
    return EndpointEntry(name.encode(), weight=weight, state=state, started_at_ms=started)


def settled_fractions(
    follower: Follower, entries: list[EndpointEntry], now: float = 1000.0
) -> dict[str, float]:
    """Step until the fractions are stable, and return them; checks the load that each step shifts."""
    previous: dict[str, float] | None = None
    for _ in range(40):
        weights = follower.weights(entries, now) or {}
        parts = {worker.decode(): by_class[0] / 100_000 for worker, by_class in weights.items()}
        if previous is not None and previous.keys() == parts.keys():
            assert (
                sum(abs(parts[name] - previous[name]) for name in parts) / 2 <= MAX_LOAD_SHIFT_PER_STEP + 1e-9
            )
            if max((abs(parts[name] - previous[name]) for name in parts), default=0) < 1e-12:
                break
        previous = parts
    return previous or {}


def test_truncated_or_changed_plan_file_is_rejected() -> None:
    data = plans.write(plan({"p1": 3, "p2": 1}))
    assert plans.read(data).parts == {"a/quote": {"p1": 3, "p2": 1}}
    for corrupt in (
        data[:-40],
        b"",
        data.replace(b'"p1": 3', b'"p1": 2'),
        data.replace(b'"format": 1', b'"format": 9'),
    ):
        assert corrupt != data
        with pytest.raises(PlanError):
            plans.read(corrupt)


def test_plan_is_approached_in_steps_and_dropped_when_it_expires() -> None:
    follower, listed = Follower("a", ["quote"]), [entry("p1"), entry("p2")]
    assert follower.weights(listed, 1000.0) is None
    follower.offer(plan({"p1": 9, "p2": 1}), 1000.0, listed)
    assert settled_fractions(follower, listed) == pytest.approx({"p1": 0.9, "p2": 0.1})
    for number, made, message in [(0, 1000.0, "older"), (2, 800.0, "expired")]:
        with pytest.raises(PlanError, match=message):
            follower.offer(plan({"p1": 1, "p2": 9}, number, made), 1000.0, listed)
    with pytest.raises(PlanError, match="another fleet"):
        follower.offer(plan({"q1": 1}, 3), 1000.0, listed)
    assert settled_fractions(follower, listed) == pytest.approx({"p1": 0.9, "p2": 0.1})
    assert follower.weights(listed, 1101.0) is None


def test_unknown_departed_and_cold_planners() -> None:
    follower = Follower("a", ["quote"], slow_start_ms=5000.0)
    listed = [entry("p1", 2.0), entry("p2", 1.0), entry("p3", 1.0)]
    follower.offer(plan({"p1": 6, "p2": 3}), 1000.0, listed)
    assert settled_fractions(follower, listed) == pytest.approx({"p1": 0.5, "p2": 0.25, "p3": 0.25})
    draining = [entry("p1", state=EndpointState.DRAINING), *listed[1:]]
    weights = follower.weights(draining, 1000.0) or {}
    assert sum(by_class[0] for by_class in weights.values()) == pytest.approx(
        100_000
    )  # p1's load is shared out at once
    restarted = [entry("p1", 1.0, started=999_000.0), *listed[1:]]
    assert settled_fractions(follower, restarted, 1000.0)["p1"] <= 1 / 3 + 1e-9
    assert settled_fractions(follower, restarted, 1005.0)["p1"] > 0.4


def test_flapping_planner_never_gets_more_than_one_step_of_load() -> None:
    follower = Follower("a", ["quote"])
    both, only_second = [entry("p1"), entry("p2")], [entry("p2")]
    follower.offer(plan({"p1": 10, "p2": 0}), 1000.0, both)
    for turn in range(20):
        weights = follower.weights(both if turn % 2 else only_second, 1000.0) or {}
        if turn % 2:
            assert weights[b"p1"][0] <= MAX_LOAD_SHIFT_PER_STEP * 100_000 + 1e-6


@slow_async_test
async def test_serve_follows_a_plan_and_ignores_a_truncated_one() -> None:
    folder = Path(__file__).parent / "made-plans"
    folder.mkdir(exist_ok=True)
    path = folder / "plan.json"
    now = time.time()
    parts = {"lima-norte/quote": {"p1": 0, "p2": 1000}}
    places = {name: PlannerEntry("lima-norte", "m", 4.0) for name in ("p1", "p2")}

    def plan_file(number: int, p1: int) -> bytes:
        parts_of_number = {"lima-norte/quote": {"p1": p1, "p2": 1000 - p1}}
        return plans.write(Plan(1, number, now, 600.0, 1000, places, parts_of_number or parts))

    try:
        path.write_bytes(plan_file(1, 0))
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
            await asyncio.sleep(5.5)  # half of the load moves, a tenth of it per second
            assert (await ask(30))[1] == 30
            path.write_bytes(plan_file(2, 1000)[:-30])
            running.process.send_signal(1)
            await running.logged("the current plan stays")
            assert (await ask(10))[1] == 10
            path.write_bytes(plan_file(2, 1000))
            running.process.send_signal(1)
            await running.logged("following plan number 2")
            await asyncio.sleep(10.5)
            assert (await ask(30))[0] == 30
            config = json.loads(running.config.read_text())
            config["settings"]["services"][0] = config["settings"]["services"][0] | {"goalTime": 2000.0}
            running.reload(json.dumps(config))  # the changed class gets a new number
            await running.logged("changed quote")
            assert (await ask(10))[0] == 10
    finally:
        path.unlink(missing_ok=True)
        folder.rmdir()


def test_place_commands(tmp_path: Path) -> None:
    def call(*words: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["place", *words])
        return result.exit_code, result.output

    fleet_file, out, other = tmp_path / "fleet.toml", tmp_path / "a.json", tmp_path / "b.json"
    fleet_file.write_text(LIMA)
    code, text = call("solve", str(fleet_file), "-o", str(out))
    assert code == 0 and "number 1" in text
    assert call("check", str(out), "--fleet", str(fleet_file))[0] == 0
    assert "cores" in call("explain", str(fleet_file))[1]
    fleet_file.write_text(LIMA.replace("speed = 1.6", "speed = 0.8"))
    code, text = call("solve", str(fleet_file), "-o", str(other), "--before", str(out))
    assert code == 0 and "number 2" in text
    assert "planner-1" in call("diff", str(out), str(other))[1]
    fleet_file.write_text(LIMA.replace("rate = 3.0", "rate = 300.0"))
    code, text = call("solve", str(fleet_file), "-o", str(other))
    assert code == 1 and "in conflict" in text and "RELAXED" in text
    assert call("check", str(other), "--fleet", str(fleet_file))[0] == 1
    fleet_file.write_text("planners = 3")
    code, text = call("solve", str(fleet_file), "-o", str(other))
    assert code == 2 and "Traceback" not in text


def test_check_reports_the_plan_or_why_it_is_rejected(tmp_path: Path) -> None:
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
    assert code == 2 and "is not a valid plan file" in text and text.count("\n") == 1
