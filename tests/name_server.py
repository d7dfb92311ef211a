"""A scripted DNS server for DNS-SD records."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
from loopback import Planner

SERVICE = "_planner._tcp.depots.example."


@contextlib.asynccontextmanager
async def name_server(*planners: Planner) -> AsyncIterator["NameServer"]:
    """Run a server with the records of these planners."""
    loop = asyncio.get_running_loop()
    _, server = await loop.create_datagram_endpoint(NameServer, local_addr=("127.0.0.1", 0))
    for planner in planners:
        server.add(planner)
    try:
        yield server
    finally:
        server.transport.close()


class NameServer(asyncio.DatagramProtocol):
    """Answers from `records`, or with the error code in `failing`; counts the queries by name and type."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], list[str]] = {}
        self.delays_s: dict[tuple[str, str], float] = {}  # of answers
        self.silent: set[tuple[str, str]] = set()  # queries that get no answer
        self.failing: dict[tuple[str, str], dns.rcode.Rcode] = {}
        self.query_counts: dict[tuple[str, str], int] = {}
        self.query_received = asyncio.Event()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    @property
    def front(self) -> str:
        """The front file with which the program browses this server."""
        return f'[dns-sd]\nserver = "127.0.0.1:{self.port}"\nservice = "{SERVICE}"\n'

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        query = dns.message.from_wire(data)
        name, kind = query.question[0].name, dns.rdatatype.to_text(query.question[0].rdtype)
        answer = dns.message.make_response(query)
        key = (name.to_text(), kind)
        if key in self.failing:
            answer.set_rcode(self.failing[key])
        elif key in self.records:
            answer.answer.append(dns.rrset.from_text(name, 1, "IN", kind, *self.records[key]))
        else:
            answer.set_rcode(dns.rcode.NXDOMAIN)
        if key not in self.silent:
            delay_s = self.delays_s.get(key, 0.0)
            asyncio.get_running_loop().call_later(delay_s, self.transport.sendto, answer.to_wire(), address)
        self.query_counts[key] = self.query_counts.get(key, 0) + 1
        self.query_received.set()

    async def wait_for_refreshes(self, count: int) -> None:
        """Wait for `count` further queries for the service's PTR records."""
        await self.wait_for_query(SERVICE, "PTR", count)

    async def wait_for_query(self, name: str, kind: str, count: int = 1) -> None:
        """Wait for `count` further queries for a name's records of this type."""
        key = (name, kind)
        target_count = self.query_counts.get(key, 0) + count
        while self.query_counts.get(key, 0) < target_count:
            self.query_received.clear()
            await self.query_received.wait()

    def add(self, planner: Planner, *pairs: str) -> None:
        name = f"{planner.name}.{SERVICE}"
        self.records[name, "SRV"] = [f"0 1 {planner.port} {planner.name}.depots.example."]
        self.records[name, "TXT"] = [" ".join(f'"{pair}"' for pair in (f"zone={planner.zone}", *pairs))]
        self.records[f"{planner.name}.depots.example.", "A"] = ["127.0.0.1"]
        instances = self.records.setdefault((SERVICE, "PTR"), [])
        if name not in instances:
            instances.append(name)
