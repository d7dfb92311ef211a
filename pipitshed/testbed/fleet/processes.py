"""Starts, stops, kills and restarts the scheduler processes of a fleet, each behind its own relay."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from time import monotonic

import msgspec

from pipitshed.testbed.fleet.links import Links
from pipitshed.testbed.fleet.relays import Address, Relay
from pipitshed.testbed.fleet.scenario import FleetShape, process_name, process_zone
from pipitshed.testbed.fleet.standins import Discovery, Member
from pipitshed.testbed.program import configuration

PEER_PORT, HTTP_PORT, PLANNERS_FROM = 7946, 8000, 9000
# The last byte of loopback addresses: the lowest of processes, the lowest of relays, and that of stand-ins.
PROCESS_HOSTS, RELAY_HOSTS, OUTSIDE_HOST = 10, 110, 210
MAX_PROCESSES = 95  # limited by the last byte of the addresses
START_TIMEOUT_S = 20.0  # s until the first event is logged
STOP_TIMEOUT_S = 25.0  # s from SIGTERM to SIGKILL
POLL_INTERVAL_S = 0.02  # s between checks for the first event


class ProcessError(RuntimeError):
    """A process did not start or stop as it must, or there are too many."""


def loopback_block() -> str:
    """Return three bytes of loopback addresses, made from the process id so that parallel runs differ."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 128}.{pid & 255}"


class _RelayedMember:
    """A planner's discovery row with the address of one scheduler's relay to it."""

    def __init__(self, member: Member, address: Address) -> None:
        self._member, self._address = member, address

    def row(self) -> dict[str, object]:
        return self._member.row() | {"hostPort": f"{self._address[0]}:{self._address[1]}"}


class Process:
    """One place in the fleet: its number and name, its addresses, and the process that runs there now."""

    def __init__(self, fleet: Processes, place: int, name: str) -> None:
        self.fleet, self.place, self.name = fleet, place, name
        self.zone = process_zone(place, fleet.shape.zones)
        self.real: Address = (f"{fleet.block}.{PROCESS_HOSTS + place}", PEER_PORT)
        self.public: Address = (f"{fleet.block}.{RELAY_HOSTS + place}", PEER_PORT)
        self.relay = Relay(name, self.public, self.real, fleet.links, fleet.caller)
        self.discovery = Discovery()
        self._relays = [self.relay]
        self.folder = fleet.folder / f"{name}-{place + 1}"
        self.starts = 0
        self.accepts_clients = False  # whether it accepts requests of clients
        self.paused = False
        self.ending = False  # SIGTERM or SIGKILL was sent
        self.killed = 0  # number of the last start that was killed
        self.running: asyncio.subprocess.Process | None = None

    async def open(self, members: Sequence[Member]) -> None:
        """Start the relay for its peers, and the relays to its discovery and its planners."""
        await self.relay.start()
        await self.discovery.start()
        outside = f"{self.fleet.block}.{OUTSIDE_HOST}"
        first = PLANNERS_FROM + self.place * 64
        targets = [
            ("discovery", self.discovery.port),
            *((member.name, member.forwarder.port) for member in members),
        ]
        for number, (name, port) in enumerate(targets):
            relay = Relay(
                name,
                (outside, first + number),
                ("127.0.0.1", port),
                self.fleet.links,
                lambda host: self.relay,
            )
            await relay.start()
            self._relays.append(relay)
        self.discovery.members = [
            _RelayedMember(member, (outside, first + 1 + number)) for number, member in enumerate(members)
        ]
        self._outside: Address = (outside, first)

    def _write(self, events: Path) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        config = configuration(f"{self.real[0]}:{HTTP_PORT}", f"{self._outside[0]}:{self._outside[1]}")
        config |= {"name": self.name, "seed": f"{self.fleet.seed * 1000 + self.place * 10 + self.starts:x}"}
        config["settings"]["siblings"] = self.fleet.shape.processes
        (self.folder / "config.json").write_text(json.dumps(config))
        shape = self.fleet.shape
        seeds = [f"{self.fleet.block}.{RELAY_HOSTS + place}:{PEER_PORT}" for place in range(shape.seeds)]
        scales = "\n".join(
            f"{name.replace('_', '-')} = {value}"
            for name, value in msgspec.structs.asdict(shape.scales).items()
        )
        (self.folder / "peers.toml").write_text(
            f'name = "{self.name}"\nzone = "{self.zone}"\nlisten = "{self.real[0]}:{PEER_PORT}"\n'
            f'advertise = "{self.public[0]}:{PEER_PORT}"\ncluster = "rig"\nseeds = {json.dumps(seeds)}\n'
            f'event-log = "{events}"\nrows-file = "rows"\n\n[scales]\n{scales}\n'
        )

    async def start(self, disk: bool = True, clock: float = 0.0) -> None:
        """Start the process and wait for its first event; raises ProcessError after START_TIMEOUT_S."""
        if not disk:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.starts += 1
        events = self.fleet.folder / f"events-{self.name}-{self.place + 1}-{self.starts}.jsonl"
        self._write(events)
        module = ["pipitshed.testbed.fleet.node", str(clock)] if clock else ["pipitshed"]
        with (self.fleet.folder / f"log-{self.name}-{self.place + 1}-{self.starts}.txt").open("wb") as log:
            self.running = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *module,
                "serve",
                "--fleet",
                str(self.folder / "peers.toml"),
                env=os.environ | {"LB_CONFIG": str(self.folder / "config.json")},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.ending = self.paused = False
        self.fleet.log(
            "spawn",
            process=self.name,
            place=self.place,
            start=self.starts,
            events=events.name,
            clock=clock,
            disk=disk,
        )
        until = monotonic() + START_TIMEOUT_S
        while not (events.exists() and events.stat().st_size):
            if self.running.returncode is not None or monotonic() > until:
                raise ProcessError(
                    f"{self.name} did not start: see log-{self.name}-{self.place + 1}-{self.starts}.txt"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        self.accepts_clients = True

    def kill(self) -> None:
        """Send SIGKILL, and log it."""
        self.accepts_clients, self.ending, self.killed = False, True, self.starts
        if self.running is not None and self.running.returncode is None:
            self.running.kill()
        self.fleet.log("kill", process=self.name, place=self.place, start=self.starts)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        if self.running is not None:
            await self.running.wait()

    async def terminate(self) -> None:
        """Send SIGTERM and wait for exit code 0; raises ProcessError otherwise."""
        self.accepts_clients, self.ending = False, True
        self.fleet.log("term", process=self.name, place=self.place, start=self.starts)
        if self.running is None or self.running.returncode is not None:
            return
        self.running.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(self.running.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.running.kill()
            raise ProcessError(f"{self.name} did not end {STOP_TIMEOUT_S:.0f} s after SIGTERM") from None
        if code != 0:
            raise ProcessError(f"{self.name} ended with exit code {code} after SIGTERM")

    def pause(self) -> None:
        """Send SIGSTOP, and log it."""
        if self.running is not None and self.running.returncode is None:
            self.accepts_clients, self.paused = False, True
            self.fleet.log("pause", process=self.name, place=self.place, start=self.starts)
            self.running.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT to a paused process, and log it."""
        if self.running is not None and self.running.returncode is None and self.paused:
            self.running.send_signal(signal.SIGCONT)
            self.fleet.log("wake", process=self.name, place=self.place, start=self.starts)
            self.accepts_clients, self.paused = not self.ending, False

    @property
    def alive(self) -> bool:
        """Whether a process runs here that has not been sent SIGTERM or SIGKILL."""
        return self.running is not None and self.running.returncode is None and not self.ending

    async def close(self) -> None:
        """Kill the process, and close its relays and its discovery."""
        if self.running is not None and self.running.returncode is None:
            self.running.kill()
            await self.running.wait()
        for relay in self._relays:
            relay.close()
        self.discovery.close()


class Processes:
    """All places of the fleet, with the links between them."""

    def __init__(
        self, shape: FleetShape, folder: Path, seed: int, members: Sequence[Member], log: Callable[..., None]
    ) -> None:
        self.shape, self.folder, self.seed, self.log = shape, folder, seed, log
        self.block = loopback_block()
        self.links = Links(seed)
        self.all: list[Process] = []
        self._members = members

    def caller(self, host: str) -> Relay | None:
        """The relay of the process with a loopback address; None for other callers."""
        head, _, last = host.rpartition(".")
        place = int(last) - PROCESS_HOSTS
        return self.all[place].relay if head == self.block and 0 <= place < len(self.all) else None

    async def add(self, name: str = "") -> Process:
        """Add a place with its relays, without a process; raises ProcessError beyond MAX_PROCESSES."""
        if len(self.all) >= MAX_PROCESSES:
            raise ProcessError(f"no more than {MAX_PROCESSES} places")
        process = Process(self, len(self.all), name or process_name(len(self.all)))
        self.all.append(process)
        await process.open(self._members)
        return process

    async def start_all(self) -> None:
        """Add and start as many processes as the scenario has, concurrently."""
        processes = [await self.add() for _ in range(self.shape.processes)]
        await asyncio.gather(*(process.start() for process in processes))

    def by_name(self, name: str) -> Process:
        """The process with a name; the latest one where several have it."""
        return [process for process in self.all if process.name == name][-1]

    def in_zone(self, zone: str) -> list[Process]:
        """The processes of a zone."""
        return [process for process in self.all if process.zone == zone]

    async def close(self) -> None:
        """Kill all processes and close their relays."""
        with contextlib.suppress(ProcessLookupError):
            await asyncio.gather(*(process.close() for process in self.all))
