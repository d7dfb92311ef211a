"""A fleet of stand-in planners behind TCP forwarders, and the stand-in discovery that lists it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import monotonic
from typing import Protocol

from pipitshed.testbed.interfaces import GrpcInterface, HttpInterface
from pipitshed.testbed.planner import Behaviour, Planner, Record

ZONES = ("lima-norte", "arequipa")
HEARTBEAT_S = 2.0  # s between empty lines on a discovery watch


class TcpForwarder:
    """Forwards a planner's fixed address to its current server, and can break all connections."""

    def __init__(self) -> None:
        self.port = 0
        self.target_port = 0  # 0: no server, connections are aborted on accept
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Abort all connections with a reset."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.cut()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if not self.target_port:
                writer.transport.abort()
                return
            inner_reader, inner_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            self._writers.add(inner_writer)
            await asyncio.gather(self._pump(reader, inner_writer), self._pump(inner_reader, writer))
            self._writers.discard(inner_writer)
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    @staticmethod
    async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort() if reader.exception() else writer.close()


@dataclass
class Member:
    """One planner of the fleet, as discovery lists it."""

    name: str
    zone: str
    interface: int
    lists_interface: bool  # whether its discovery row has the key `interface`
    forwarder: TcpForwarder
    planner: Planner
    interface_server: HttpInterface | GrpcInterface
    started_ms: float = 0.0
    lifecycle: str = "ready"
    starts: int = 0
    speed: float = 1.0
    weight: float = 1.0
    drains: list[tuple[float, float]] = field(default_factory=list)  # (drain announced, restarted)

    def row(self) -> dict[str, object]:
        row = {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.forwarder.port}",
            "zone": self.zone,
            "cell": 0,
            "machineType": "standard",
            "lifecycle": self.lifecycle,
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }
        return row | ({"interface": self.interface} if self.lists_interface else {})


class DiscoveryEntry(Protocol):
    """An entry of the stand-in discovery's list."""

    def row(self) -> dict[str, object]: ...


class Discovery:
    """Stand-in discovery: the list and its watch in the platform's protocol."""

    def __init__(self) -> None:
        self.port = 0
        self.generation = 1
        self.members: Sequence[DiscoveryEntry] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._responding = asyncio.Event()
        self._responding.set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop_responding(self, seconds: float) -> None:
        """Answer nothing for some seconds, neither on open watches nor to new requests."""
        self._responding.clear()
        await asyncio.sleep(seconds)
        self._responding.set()

    def text(self, reset: bool, members: Sequence[DiscoveryEntry]) -> bytes:
        return json.dumps(
            {"generation": self.generation, "reset": reset, "instances": [member.row() for member in members]}
        ).encode()

    def announce(self, *members: DiscoveryEntry) -> None:
        """Send a change of these entries to all watches, with a new generation."""
        self.generation += 1
        text = self.text(False, members) + b"\n"
        for writer in list(self._watches):
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            await self._responding.wait()
            text = self.text(True, self.members)
            if b"watch=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                return
            text += b"\n"
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(text), text)
            )
            self._watches.add(writer)
            while not writer.is_closing():
                with contextlib.suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(1), HEARTBEAT_S):
                        break
                await self._responding.wait()
                writer.write(b"1\r\n\n\r\n")
        self._watches.discard(writer)
        writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


class PlannerFleet:
    """Planners with their forwarders, and discovery; an experiment restarts, cuts off and slows them."""

    def __init__(self, behaviour: Behaviour, seed: int) -> None:
        self.behaviour = behaviour
        self.record = Record()
        self.discovery = Discovery()
        self.members: list[Member] = []
        self._seed = seed
        self._ends: set[asyncio.Task[None]] = set()

    async def start(
        self,
        interfaces: list[int],
        lists_interface: list[bool],
        speeds: Sequence[float] = (),
        weights: Sequence[float] = (),
    ) -> None:
        for place, (interface, listed) in enumerate(zip(interfaces, lists_interface, strict=True)):
            speed = speeds[place] if speeds else 1.0
            name, zone = f"planner-{place + 1}", ZONES[place % len(ZONES)]
            forwarder = TcpForwarder()
            await forwarder.start()
            planner, interface_server = self._make(name, zone, interface, speed)
            member = Member(
                name,
                zone,
                interface,
                listed,
                forwarder,
                planner,
                interface_server,
                speed=speed,
                weight=weights[place] if weights else 1.0,
            )
            self.members.append(member)
            await self._open(member)
        self.discovery.members = self.members
        await self.discovery.start()

    def _make(
        self, name: str, zone: str, interface: int, speed: float
    ) -> tuple[Planner, HttpInterface | GrpcInterface]:
        self._seed += 1
        planner = Planner(name, zone, interface, self.behaviour, self.record, self._seed, speed)
        return planner, (HttpInterface if interface == 1 else GrpcInterface)(planner)

    @staticmethod
    async def _open(member: Member) -> None:
        await member.interface_server.start()
        member.forwarder.target_port = member.interface_server.port

    async def roll(self, member: Member, interface: int, goaway_only: bool = False) -> None:
        """Drain a planner (by discovery, or by GOAWAY alone), stop it, and restart it with this interface."""
        announced_at = monotonic()
        if not goaway_only:
            member.lifecycle = "draining"
            self.discovery.announce(member)
            await asyncio.sleep(1.5)
        old, member.forwarder.target_port = member.interface_server, 0
        await old.stop(3.0)
        await self.restart(member, interface, announced_at)

    async def crash(self, member: Member, down: float) -> None:
        """Stop a planner without drain, list it as gone 0.3 s later, and restart it after `down` seconds."""
        member.forwarder.target_port = 0
        member.forwarder.cut()
        await member.interface_server.stop(0.0)
        await asyncio.sleep(0.3)
        member.lifecycle = "gone"
        announced_at = monotonic()
        self.discovery.announce(member)
        await asyncio.sleep(down)
        await self.restart(member, member.interface, announced_at)

    async def restart(self, member: Member, interface: int, announced_at: float) -> None:
        member.interface = interface
        member.planner, member.interface_server = self._make(
            member.name, member.zone, interface, member.speed
        )
        member.starts += 1
        await self._open(member)
        member.lifecycle, member.started_ms = "ready", time.time() * 1000
        self.discovery.announce(member)
        member.drains.append((announced_at, monotonic()))

    async def close(self) -> None:
        self.discovery.close()
        for member in self.members:
            member.forwarder.close()
        await asyncio.gather(*(member.interface_server.stop(0.0) for member in self.members))
