"""Plays a scenario: processes, traffic, faults at their times, and the verdict of the oracles."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import tempfile
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any

from pipitshed.testbed.accounts import account
from pipitshed.testbed.clients import ClientRequest, HttpClients, draw_request
from pipitshed.testbed.fleet import oracles, row_oracles
from pipitshed.testbed.fleet.faults import Faults
from pipitshed.testbed.fleet.oracles import Instance
from pipitshed.testbed.fleet.processes import HTTP_PORT, Process, ProcessError, Processes
from pipitshed.testbed.fleet.puts import SettingChanges
from pipitshed.testbed.fleet.scenario import KEYS, Fault, Scenario, SettingChange, process_name
from pipitshed.testbed.fleet.standins import PlannerFleet
from pipitshed.testbed.planner import Behaviour

POLL_INTERVAL = 0.05  # s between looks whether all hold the truth
AGREEMENT_HOLD = 1.0  # s for which it must be held then
WARM_UP = 1.0  # s of traffic before the first fault
MIX = {"http-v1": 1.0}
MAX_ATTEMPTS = 8  # schedulers that a client asks until one takes its request
MUST_BE_ZERO = ("answered_twice", "ran_twice_forbidden", "wrong_result", "served_unrun", "ran_unasked")


class Log:
    """The rig's own log."""

    def __init__(self, path: Path) -> None:
        self._out = path.open("a", buffering=1)

    def __call__(self, event: str, **told: Any) -> None:
        self._out.write(json.dumps({"t": monotonic(), "event": event} | told) + "\n")

    def close(self) -> None:
        self._out.close()


class ScenarioRun:
    """One play of a scenario in a folder of its own."""

    def __init__(
        self,
        scenario: Scenario,
        faults: tuple[Fault, ...],
        seed: int,
        folder: Path,
        puts: tuple[SettingChange, ...] = (),
    ) -> None:
        self.scenario, self.faults, self.seed, self.folder, self.puts = scenario, faults, seed, folder, puts
        self.log = Log(folder / "rig.jsonl")
        shape = scenario.fleet
        self.planners = PlannerFleet(Behaviour(), seed)
        self.processes = Processes(shape, folder, seed, self.planners.members, self.log)
        self._reading = oracles.LogReader(folder)
        self.requests: list[ClientRequest] = []
        self.targets: dict[str, tuple[int, int]] = {}
        self._rng = random.Random(f"traffic:{seed}")
        self._clients: dict[int, HttpClients] = {}
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, Any]:
        """Play it; the verdict."""
        shape = self.scenario.fleet
        await self.planners.start([1] * shape.planners, [True] * shape.planners)
        watching = asyncio.create_task(self._watch())
        traffic = None
        try:
            began = monotonic()
            await self.processes.start_all()
            joined = await self._agreed(self.scenario.joined_within)
            if joined is None:
                self.log("wrong", text=f"the fleet had not joined after {self.scenario.joined_within} s")
            traffic = asyncio.create_task(self._traffic())
            await asyncio.sleep(WARM_UP)
            faults, puts = Faults(self.processes, self.log), SettingChanges(self.processes, self.log)
            putting = asyncio.create_task(puts.play(self.puts))
            await faults.play(self.faults)
            self.log("over")
            await self._agreed(self.scenario.settle_within)
            await putting
            if self.puts:
                # In a fleet that has settled, a change must come in force.
                last = await puts.one(SettingChange(0.0, process_name(0), KEYS[0], "0.5"))
                if last != "in force":
                    self.log("wrong", text=f"the last change, with all faults over, was {last}")
            await asyncio.sleep(AGREEMENT_HOLD)
            traffic.cancel()
            await asyncio.gather(*self._sending)
            self.log("end", joined=joined, began=began)
        except ProcessError as error:
            self.log("wrong", text=str(error))
            self.log("over")
        finally:
            watching.cancel()
            if traffic is not None:
                traffic.cancel()
            await self._stop()
        return self.verdict()

    async def _stop(self) -> None:
        """End the processes in good order, then all that the rig has open."""
        for ended in await asyncio.gather(
            *(one.terminate() for one in self.processes.all if one.alive), return_exceptions=True
        ):
            if isinstance(ended, ProcessError):
                self.log("wrong", text=str(ended))
        for clients in self._clients.values():
            clients.close()
        await self.processes.close()
        await self.planners.close()

    async def _agreed(self, within: float) -> float | None:
        """How long until the events of all processes show the truth (s); None where they don't in time."""
        began = monotonic()
        while monotonic() - began <= within:
            logs = self._reading.read_new()
            if not oracles.settled(logs)[1] and not row_oracles.settled(logs):
                return monotonic() - began
            await asyncio.sleep(POLL_INTERVAL)
        return None

    async def _watch(self) -> None:
        """Note a process that ends by itself."""
        seen: set[tuple[int, int]] = set()
        while True:
            for one in self.processes.all:
                ended = one.running is not None and one.running.returncode is not None and not one.ending
                if ended and (one.place, one.starts) not in seen:
                    assert one.running is not None
                    seen.add((one.place, one.starts))
                    one.accepts_clients = False
                    self.log(
                        "died",
                        process=one.name,
                        place=one.place,
                        start=one.starts,
                        code=one.running.returncode,
                    )
            await asyncio.sleep(POLL_INTERVAL)

    # ---- clients

    async def _traffic(self) -> None:
        began, number = monotonic(), 0
        rate = self.scenario.traffic.rate
        while rate:
            await asyncio.sleep(max(0.0, began + number / rate - monotonic()))
            up = [one for one in self.processes.all if one.accepts_clients]
            if up:
                self._send(up[number % len(up)], number)
            number += 1

    def _send(self, process: Process, number: int) -> None:
        request = draw_request(self._rng, f"{number:06d}", MIX, 0.0, 0.0, self.scenario.traffic.book)
        self.requests.append(request)
        task = asyncio.create_task(self._send_until_accepted(request, process))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send_until_accepted(self, request: ClientRequest, process: Process) -> None:
        """Ask until a scheduler has taken the request: one that refuses the connection, or had closed a kept
        one before the request came, has not, and another is asked as the platform's front would do.
        """
        for _ in range(MAX_ATTEMPTS):
            self.targets[request.token] = (process.place, process.starts)
            clients = self._clients.setdefault(process.place, HttpClients(HTTP_PORT, process.real[0]))
            request.not_accepted, request.outcome, request.reused_connection = False, "", False
            await clients.send(request)
            up = [other for other in self.processes.all if other.accepts_clients]
            # Guards a keyed job against a second run in another zone that the rig itself asks for: a kept
            # connection ends without a byte also where a process was killed that had taken the request.
            killed = (
                request.reused_connection
                and process.killed == self.targets[request.token][1]
                and request.job_class == "book"
            )
            if not request.not_accepted or killed or not up:
                return
            process = self._rng.choice(up)

    # ---- the verdict

    def verdict(self) -> dict[str, Any]:
        """What the oracles say of the logs and accounts."""
        logs = oracles.read(self.folder)
        after, wrong = oracles.settled(logs)
        by_key: dict[tuple[int, int], Instance] = {(one.place, one.start): one for one in logs.instances}
        targets = {token: by_key[key] for token, key in self.targets.items()}
        figures, lost = oracles.check_requests(
            self.requests, targets, self.scenario.traffic.wanted_ms, self.scenario.all_in_time
        )
        accounts = account(self.requests, self.planners.record.runs, self.planners.members)
        wrong += [f"{name}: {accounts['faults'][name][:2]}" for name in MUST_BE_ZERO if accounts[name]]  # type: ignore[index]
        if after is not None and after > self.scenario.settle_within:
            wrong.append(f"settled {after:.2f} s after the last fault, not {self.scenario.settle_within}")
        if self.puts:
            wrong += (
                row_oracles.check_in_force(logs, self.scenario.settle_within, self.scenario.fleet.zones)
                + row_oracles.check_no_regression(logs)
                + row_oracles.settled(logs)
            )
            figures |= row_oracles.figures(logs)
        wrong += logs.rig_errors + lost
        return (
            {
                "scenario": self.scenario.name,
                "seed": self.seed,
                "processes": len(self.processes.all),
                "faults": len(self.faults),
                "played": digest(logs.faults),
                "settled_s": None if after is None else round(after, 3),
                "false_deaths": oracles.false_deaths(logs),
                "links": self.processes.links.counts(),
                "displaced": sum(one.displaced for one in logs.instances),
            }
            | figures
            | {"wrong": wrong}
        )


def digest(faults: list[dict[str, Any]]) -> str:
    """A hash of which faults were played, on whom and when by the script: the same for the same scenario and
    seed.
    """
    told = [{key: value for key, value in one.items() if key != "t"} for one in faults]
    return hashlib.blake2b(json.dumps(told, sort_keys=True).encode(), digest_size=6).hexdigest()


async def run_scenario(
    scenario: Scenario,
    faults: tuple[Fault, ...],
    seed: int,
    keep: Path | None = None,
    puts: tuple[SettingChange, ...] = (),
) -> dict[str, Any]:
    """Play these faults and changes once; the logs stay in `keep` where one is given."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return await ScenarioRun(scenario, faults, seed, keep, puts).run()
    with tempfile.TemporaryDirectory(prefix="pipitshed-fleet-") as folder:
        return await ScenarioRun(scenario, faults, seed, Path(folder), puts).run()


def shrink_faults(
    faults: tuple[Fault, ...], fails: Callable[[tuple[Fault, ...]], bool], most: int
) -> tuple[Fault, ...]:
    """The fewest of these faults that still fail, by leaving out ever smaller parts, in at most so many
    plays.
    """
    parts = 2
    while len(faults) > 1 and most > 0:
        size = max(1, len(faults) // parts)
        for place in range(0, len(faults), size):
            fewer = faults[:place] + faults[place + size :]
            if most <= 0:
                break
            most -= 1
            if fails(fewer):
                faults, parts = fewer, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), parts * 2)
    return faults
