"""The parts that translation adds to a scheduler, put together; imported only where it is asked for."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from pipitshed.config.front import Translation
from pipitshed.discovery.worker_interfaces import InterfaceRegistry
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.translation.translator import Translator
from pipitshed.upstream.grpc import GrpcWorkerClient
from pipitshed.upstream.http import HttpWorkerClient
from pipitshed.upstream.interface_probe import InterfaceProber


class TranslationParts:
    """The translator before the core, interface 2 behind it, and what knows which planner speaks which."""

    def __init__(
        self,
        core: Forwarder,
        http: HttpWorkerClient,
        asked: Translation,
        classes: Sequence[str],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.translator = Translator(asked.file, classes)
        self.carrier = GrpcWorkerClient(core, classes, loop, asked.keepalive_s)
        self.sounder = InterfaceProber(loop, self._sounded)
        self.interfaces = InterfaceRegistry(
            core.endpoints,
            {1: http, 2: self.carrier},
            asked.planners,
            asked.interface,
            self.sounder.probe,
            loop.call_later,
        )
        core.attach_translator(self.translator)
        core.endpoints.attach_forgotten_listener(self.interfaces.forget)
        http.classes = classes
        http.on_wrong_interface = self.carrier.on_wrong_interface = self._wrong
        self.carrier.on_drain = self._drains

    def _sounded(self, worker: bytes, address: tuple[str, int], interface: int) -> None:
        self.interfaces.detected(worker, address, interface)

    def _wrong(self, target: Endpoint) -> None:
        self.interfaces.mismatched(target.id)

    def _drains(self, target: Endpoint) -> None:
        self.interfaces.drains(target.id)

    def close(self) -> None:
        self.sounder.close()
        self.carrier.close()
