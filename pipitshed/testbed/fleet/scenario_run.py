"""Runs a scenario: starts processes and traffic, injects faults, and returns the verdict of the oracles."""

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
from pipitshed.testbed.fleet.scenario import KEYS, Fault, Scenario, SettingChange, process_name
from pipitshed.testbed.fleet.setting_changes import SettingChanges
from pipitshed.testbed.fleet.standins import PlannerFleet
from pipitshed.testbed.planner import Behaviour

POLL_INTERVAL_S = 0.05  # s between checks whether all views are correct
AGREEMENT_HOLD_S = 1.0  # s for which the views must then stay correct
WARM_UP_S = 1.0  # s of traffic before the first fault
MIX = {"http-v1": 1.0}
MAX_ATTEMPTS = 8  # schedulers that a client tries until one accepts its request
MUST_BE_ZERO = ("answered_twice", "ran_twice_forbidden", "wrong_result", "served_unrun", "ran_unasked")


class Log:
    """The rig's own log: one JSON line for each event."""

    def __init__(self, path: Path) -> None:
        self._out = path.open("a", buffering=1)

    def __call__(self, event: str, **details: Any) -> None:
        self._out.write(json.dumps({"t": monotonic(), "event": event} | details) + "\n")

    def close(self) -> None:
        self._out.close()


class ScenarioRun:
    """One run of a scenario, with its logs in a folder of its own."""

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
        self._log_reader = oracles.LogReader(folder)
        self.requests: list[ClientRequest] = []
        self.targets: dict[str, tuple[int, int]] = {}
        self._rng = random.Random(f"traffic:{seed}")
        self._clients: dict[int, HttpClients] = {}
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, Any]:
        """Run the scenario once; return the verdict."""
        shape = self.scenario.fleet
        await self.planners.start([1] * shape.planners, [True] * shape.planners)
        watching = asyncio.create_task(self._watch_exits())
        traffic = None
        try:
            began = monotonic()
            await self.processes.start_all()
            joined = await self._wait_for_agreement(self.scenario.joined_within)
            if joined is None:
                self.log("wrong", text=f"not all processes had joined after {self.scenario.joined_within} s")
            traffic = asyncio.create_task(self._traffic())
            await asyncio.sleep(WARM_UP_S)
            faults, puts = Faults(self.processes, self.log), SettingChanges(self.processes, self.log)
            putting = asyncio.create_task(puts.run(self.puts))
            await faults.run(self.faults)
            self.log("over")
            await self._wait_for_agreement(self.scenario.settle_within)
            await putting
            if self.puts:
                # A change in a fleet without faults must come into force.
                last = await puts.put_and_follow(SettingChange(0.0, process_name(0), KEYS[0], "0.5"))
                if last != "in force":
                    self.log("wrong", text=f"a setting change after all faults were over was {last}")
            await asyncio.sleep(AGREEMENT_HOLD_S)
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
        """Stop the processes with SIGTERM, then close the clients, relays and planners."""
        for ended in await asyncio.gather(
            *(process.terminate() for process in self.processes.all if process.alive), return_exceptions=True
        ):
            if isinstance(ended, ProcessError):
                self.log("wrong", text=str(ended))
        for clients in self._clients.values():
            clients.close()
        await self.processes.close()
        await self.planners.close()

    async def _wait_for_agreement(self, within: float) -> float | None:
        """Wait until the logs show agreement on views and settings; return the seconds, None on time-out."""
        began = monotonic()
        while monotonic() - began <= within:
            logs = self._log_reader.read_new()
            if not oracles.settled(logs)[1] and not row_oracles.settled(logs):
                return monotonic() - began
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _watch_exits(self) -> None:
        """Log each process that ends by itself."""
        seen: set[tuple[int, int]] = set()
        while True:
            for watched in self.processes.all:
                ended = (
                    watched.running is not None
                    and watched.running.returncode is not None
                    and not watched.ending
                )
                if ended and (watched.place, watched.starts) not in seen:
                    assert watched.running is not None
                    seen.add((watched.place, watched.starts))
                    watched.accepts_clients = False
                    self.log(
                        "died",
                        process=watched.name,
                        place=watched.place,
                        start=watched.starts,
                        code=watched.running.returncode,
                    )
            await asyncio.sleep(POLL_INTERVAL_S)

    # ---- clients

    async def _traffic(self) -> None:
        began, number = monotonic(), 0
        rate = self.scenario.traffic.rate
        while rate:
            await asyncio.sleep(max(0.0, began + number / rate - monotonic()))
            up = [process for process in self.processes.all if process.accepts_clients]
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
        """Send a request until a scheduler accepts it, as the platform's front would do.

        A scheduler has not accepted a request if it refused the connection, or had closed a reused connection
        before the request arrived; another one is tried then.
        """
        for _ in range(MAX_ATTEMPTS):
            self.targets[request.token] = (process.place, process.starts)
            clients = self._clients.setdefault(process.place, HttpClients(HTTP_PORT, process.real[0]))
            request.not_accepted, request.outcome, request.reused_connection = False, "", False
            await clients.send(request)
            up = [other for other in self.processes.all if other.accepts_clients]
            # A reused connection also ends without a byte where the process was killed after it had accepted
            # the request. The rig would then cause a second run in another zone by sending a keyed job again.
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
        """Check the logs and the account with all oracles; return the figures and what is wrong."""
        logs = oracles.read(self.folder)
        after, wrong = oracles.settled(logs)
        by_key: dict[tuple[int, int], Instance] = {
            (instance.place, instance.start): instance for instance in logs.instances
        }
        targets = {token: by_key[key] for token, key in self.targets.items()}
        figures, lost = oracles.check_requests(
            self.requests, targets, self.scenario.traffic.wanted_ms, self.scenario.all_in_time
        )
        accounts = account(self.requests, self.planners.record.runs, self.planners.members)
        wrong += [f"{name}: {accounts['faults'][name][:2]}" for name in MUST_BE_ZERO if accounts[name]]  # type: ignore[index]
        if after is not None and after > self.scenario.settle_within:
            wrong.append(
                f"settled {after:.2f} s after the last fault; the limit is {self.scenario.settle_within} s"
            )
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
                "displaced": sum(instance.displaced for instance in logs.instances),
            }
            | figures
            | {"wrong": wrong}
        )


def digest(faults: list[dict[str, Any]]) -> str:
    """Hash of the faults with their targets and scripted times: the same for the same scenario and seed."""
    without_time = [{key: value for key, value in one.items() if key != "t"} for one in faults]
    return hashlib.blake2b(json.dumps(without_time, sort_keys=True).encode(), digest_size=6).hexdigest()


async def run_scenario(
    scenario: Scenario,
    faults: tuple[Fault, ...],
    seed: int,
    keep: Path | None = None,
    puts: tuple[SettingChange, ...] = (),
) -> dict[str, Any]:
    """Run a scenario once with these faults and changes; the logs stay in `keep` if it is given."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return await ScenarioRun(scenario, faults, seed, keep, puts).run()
    with tempfile.TemporaryDirectory(prefix="pipitshed-fleet-") as folder:
        return await ScenarioRun(scenario, faults, seed, Path(folder), puts).run()


def shrink_faults(
    faults: tuple[Fault, ...], fails: Callable[[tuple[Fault, ...]], bool], most: int
) -> tuple[Fault, ...]:
    """Return a smaller list of faults that still fails, found by leaving out ever smaller parts.

    `most` limits the number of runs.
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
