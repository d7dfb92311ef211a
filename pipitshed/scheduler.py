"""Puts the parts together and runs them from the start to the last answer."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal

import uvloop

from pipitshed.config import Config
from pipitshed.egress.http import HttpCarrier
from pipitshed.exchange.core import Core
from pipitshed.ingress.http import HttpFront, Listener, Reading
from pipitshed.routes.discovery import Discovery, Listing, Names

LISTEN_ON = 0.5  # s after SIGTERM: new connections keep coming for up to 0.4 s
CLIENTS_PART = 0.5  # part of the descriptors for clients' connections

log = logging.getLogger("pipitshed")


class Scheduler:
    """One running scheduler."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.core = Core(config.settings, config.seed, loop)
        self.carrier = HttpCarrier(self.core, config.fields, loop)
        self.front = HttpFront(self.core, Reading(self.core, config.classes, config.tenants),
                               int(config.sockets * CLIENTS_PART))
        self.discovery: Discovery | None = None
        listing = Listing(Names(config.zones), Names(config.kinds), self.carrier)
        if config.discovery is not None:
            self.discovery = Discovery(config.discovery, listing, self.core.routes, loop)
            self.core.ask_list = self.discovery.ask
            if config.known is not None:
                self.discovery.known(config.known)
        self.listener = Listener(config.listen, self.front.connection, loop)
        self.front.ready = True
        self._ended = asyncio.Event()
        self._draining = False

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, and then until all that was taken is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.drain)
        log.info("listening on %s:%d", *self.listener.address)
        await self._ended.wait()
        log.info("ended: %s", " ".join(f"{name}={count}" for name, count in sorted(self.core.tally.items())))

    def drain(self) -> None:
        """Stop in good order: listen on while clients may still be sent here, answer all, then end."""
        if self._draining:
            return
        self._draining = True
        self.front.drain()
        self._loop.call_later(LISTEN_ON, self._close_doors)

    def _close_doors(self) -> None:
        self.listener.close()
        # One turn of the loop later, what stood in the listener's queue has its connection.
        self._loop.call_later(0.02, self._end_when_idle)

    def _end_when_idle(self) -> None:
        self.front.close_idle()
        if self.front.connections:
            self._loop.call_later(0.02, self._end_when_idle)
            return
        if self.discovery is not None:
            self.discovery.close()
        self.carrier.close()
        self._ended.set()


def serve(config: Config) -> None:
    """Run one scheduler to its end."""

    async def run() -> None:
        scheduler = Scheduler(config, asyncio.get_running_loop())
        # What stands now stays; a full collection in the middle of traffic would make timers late.
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 100)
        await scheduler.run()

    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    uvloop.run(run())
