"""Scenario files: a fleet, its clients, faults and setting changes, scripted or drawn by a seed. No I/O."""

from __future__ import annotations

import random
import tomllib
from typing import Literal

import msgspec

from pipitshed.membership.timing import ProtocolTimings
from pipitshed.protocols.toml import line_of_item
from pipitshed.testbed.program import TENANTS

FaultKind = Literal[
    "cut",
    "cut-one-way",
    "cut-zone",
    "delay",
    "jitter",
    "loss",
    "duplicate",
    "reorder",
    "drip",
    "reset",
    "pause",
    "kill",
    "kill-for-good",
    "term",
    "roll",
    "join",
    "double",
    "clock",
]
LINKS = ("cut", "cut-one-way", "delay", "jitter", "loss", "duplicate", "reorder", "drip", "reset")
AMOUNTS: dict[str, tuple[float, float]] = {  # range of the amount of a drawn fault
    "delay": (0.05, 0.4),
    "jitter": (0.02, 0.2),
    "loss": (0.05, 0.4),
    "duplicate": (0.1, 0.6),
    "reorder": (0.1, 0.5),
    "drip": (400.0, 4000.0),
    "clock": (-3600.0, 3600.0),
}


# Settings that drawn changes are made to; all processes of the fleet have them.
KEYS = (
    *(f"tenant/{name}/{field}" for name in TENANTS for field in ("share", "allowancePerS")),
    "class/quote/goalTime",
)


class ScenarioError(ValueError):
    """The scenario file is invalid; the message says why, with the line where it is known."""


class Fault(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True, omit_defaults=True):
    """One fault. Times are seconds; `at` counts from the end of the warm-up, when all have joined."""

    at: float
    do: FaultKind
    a: tuple[str, ...] = ()  # names of processes, or of zones for `cut-zone`
    b: tuple[str, ...] = ()  # processes on the other side of a link; empty: all others
    lasts: float = msgspec.field(default=0.0, name="for")
    amount: float = 0.0  # by kind: s, share of the messages, bytes/s, or s of clock error
    count: int = 1  # number of processes that join
    disk: bool = True  # whether a restarted process keeps its folder


class Mix(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """How many faults the seed draws, and of which kinds."""

    count: int = 0
    over: float = 10.0  # s in which the faults begin
    longest: float = 4.0  # s; longest duration of a fault
    kinds: dict[FaultKind, float] = {}  # with their weights


class SettingChange(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """One change of a setting by a row, sent to a process; `at` counts from the same moment as a fault's."""

    at: float
    a: str  # name of the process; another one if it does not accept clients then
    key: str
    value: str


class SettingChangeMix(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """How many setting changes the seed draws."""

    count: int = 0
    over: float = 10.0  # s in which the changes are made


class FleetShape(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """The scheduler processes, and the planners that they share."""

    processes: int = 5
    zones: int = 3
    planners: int = 4
    seeds: int = 2  # number of processes that the others join through
    scales: ProtocolTimings = msgspec.field(default_factory=ProtocolTimings)


class Traffic(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """Client traffic: `rate` is requests per second over all schedulers, which receive them in turn."""

    rate: float = 40.0
    book: float = 0.4  # share of the requests with class `book`
    wanted_ms: float = 1000.0  # a result within this time counts as in time


class Scenario(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """A scenario file."""

    name: str
    fleet: FleetShape = msgspec.field(default_factory=FleetShape)
    traffic: Traffic = msgspec.field(default_factory=Traffic)
    fault: tuple[Fault, ...] = ()
    mix: Mix = msgspec.field(default_factory=Mix)
    put: tuple[SettingChange, ...] = ()
    put_mix: SettingChangeMix = msgspec.field(default_factory=SettingChangeMix)
    settle_within: float = 5.0  # s after the last fault within which all views must be correct
    joined_within: float = 15.0  # s from the first start within which all processes must have joined
    all_in_time: bool = False  # every request must be served in time, as no process or planner has a fault


def process_name(place: int) -> str:
    """The name of the process at a place; places count from 0."""
    return f"s{place + 1}"


def process_zone(place: int, zones: int) -> str:
    """The zone of the process at a place; zones are assigned in turn."""
    return f"zone-{place % zones + 1}"


def read(text: str, processes: int | None = None) -> Scenario:
    """Parse and check a scenario; `processes` overrides the file's number. Raises ScenarioError."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), Scenario)
    except ValueError as error:
        raise ScenarioError(str(error)) from None
    if processes is not None:
        scenario = msgspec.structs.replace(
            scenario, fleet=msgspec.structs.replace(scenario.fleet, processes=processes)
        )
    if not 1 <= scenario.fleet.processes <= 60 or not 1 <= scenario.fleet.zones <= 8:
        raise ScenarioError("fleet: 1 to 60 processes in 1 to 8 zones")
    names = {process_name(place) for place in range(scenario.fleet.processes)}
    zones = {process_zone(place, scenario.fleet.zones) for place in range(scenario.fleet.processes)}
    for place, put in enumerate(scenario.put):
        if put.a not in names:
            raise ScenarioError(f"line {line_of_item(text, 'put', place, 'a')}: there is no {put.a!r}")
    for place, fault in enumerate(scenario.fault):
        known = zones if fault.do == "cut-zone" else names
        if unknown := [name for name in (*fault.a, *fault.b) if name not in known]:
            raise ScenarioError(f"line {line_of_item(text, 'fault', place, 'a')}: there is no {unknown[0]!r}")
        if fault.do != "roll" and fault.do != "join" and not fault.a:
            raise ScenarioError(f"line {line_of_item(text, 'fault', place)}: `a` names no process or zone")
    return scenario


def draw_faults(scenario: Scenario, seed: int) -> tuple[Fault, ...]:
    """Return the scripted faults and those drawn by the seed, in the order in which they begin. The same
    scenario and seed give the same faults at the same times.
    """
    rng = random.Random(f"{scenario.name}:{seed}:{scenario.fleet.processes}")
    names = [process_name(place) for place in range(scenario.fleet.processes)]
    zones = sorted({process_zone(place, scenario.fleet.zones) for place in range(scenario.fleet.processes)})
    faults = list(scenario.fault)
    kinds, weights = list(scenario.mix.kinds), list(scenario.mix.kinds.values())
    for _ in range(scenario.mix.count if kinds else 0):
        do = rng.choices(kinds, weights)[0]
        at, lasts = rng.uniform(0.0, scenario.mix.over), rng.uniform(0.3, scenario.mix.longest)
        a = tuple(rng.sample(zones if do == "cut-zone" else names, 1))
        b = tuple(rng.sample([name for name in names if name not in a], 1)) if do in LINKS else ()
        if do in LINKS and rng.random() < 0.3:
            b = ()
        low, high = AMOUNTS.get(do, (0.0, 0.0))
        faults.append(
            Fault(
                round(at, 3),
                do,
                () if do in ("roll", "join") else a,
                b,
                round(lasts, 3),
                round(rng.uniform(low, high), 3),
                disk=rng.random() < 0.5,
            )
        )
    return tuple(sorted(faults, key=lambda fault: fault.at))


def draw_setting_changes(scenario: Scenario, seed: int) -> tuple[SettingChange, ...]:
    """Return the scripted setting changes and those drawn by the seed, in order of time."""
    rng = random.Random(f"puts:{scenario.name}:{seed}:{scenario.fleet.processes}")
    puts = list(scenario.put)
    for number in range(scenario.put_mix.count):
        key = rng.choice(KEYS)
        value = rng.uniform(800.0, 2000.0) if key.startswith("class") else rng.uniform(0.1, 0.9)
        puts.append(
            SettingChange(
                round(rng.uniform(0.0, scenario.put_mix.over), 3),
                process_name(rng.randrange(scenario.fleet.processes)),
                key,
                f"{value:.3f}{number:03d}",
            )
        )
    return tuple(sorted(puts, key=lambda put: put.at))


def scenario_text(scenario: Scenario, faults: tuple[Fault, ...], puts: tuple[SettingChange, ...] = ()) -> str:
    """Write a scenario file with exactly these faults and changes, to repeat a run."""
    lines = [
        f'name = "{scenario.name}"',
        f"settle-within = {scenario.settle_within}",
        f"all-in-time = {str(scenario.all_in_time).lower()}",
        "",
        "[fleet]",
        f"processes = {scenario.fleet.processes}",
        f"zones = {scenario.fleet.zones}",
        f"planners = {scenario.fleet.planners}",
        f"seeds = {scenario.fleet.seeds}",
        "",
        "[fleet.scales]",
        *(
            f"{name.replace('_', '-')} = {value}"
            for name, value in msgspec.structs.asdict(scenario.fleet.scales).items()
        ),
        "",
        "[traffic]",
        f"rate = {scenario.traffic.rate}",
        f"book = {scenario.traffic.book}",
    ]
    for table, one in [("fault", fault) for fault in faults] + [("put", put) for put in puts]:
        lines += ["", f"[[{table}]]"]
        for key, value in msgspec.to_builtins(one).items():
            text = (
                str(value).lower()
                if isinstance(value, bool)
                else (
                    f'"{value}"'
                    if isinstance(value, str)
                    else "[" + ", ".join(f'"{one}"' for one in value) + "]"
                    if isinstance(value, list | tuple)
                    else str(value)
                )
            )
            lines.append(f"{key} = {text}")
    return "\n".join(lines) + "\n"
