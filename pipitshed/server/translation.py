"""The components that message translation adds to a scheduler; imported only where it is configured."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from pipitshed.config.front import Translation
from pipitshed.discovery.worker_interfaces import InterfaceRegistry
from pipitshed.flow_control import FlowControl
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import WorkerId
from pipitshed.translation.translator import Translator
from pipitshed.upstream.grpc import GrpcWorkerClient
from pipitshed.upstream.http import HttpWorkerClient
from pipitshed.upstream.interface_probe import InterfaceProber

HTTP_INTERFACE = 1
GRPC_INTERFACE = 2


class TranslationParts:
    """The translator, the client of gRPC workers, and the registry of each worker's interface."""

    def __init__(
        self,
        forwarder: Forwarder,
        http_workers: HttpWorkerClient,
        config: Translation,
        class_names: Sequence[str],
        loop: asyncio.AbstractEventLoop,
        flow_control: FlowControl,
    ) -> None:
        self.translator = Translator(config.file, class_names)
        self.grpc_workers = GrpcWorkerClient(forwarder, class_names, loop, config.keepalive_s, flow_control)
        self.prober = InterfaceProber(loop, self._on_interface_detected, flow_control)
        self.interfaces = InterfaceRegistry(
            forwarder.endpoints,
            {HTTP_INTERFACE: http_workers, GRPC_INTERFACE: self.grpc_workers},
            config.interface_by_instance,
            config.default_interface,
            self.prober.probe,
            loop.call_later,
        )
        forwarder.attach_translator(self.translator)
        forwarder.endpoints.attach_forgotten_listener(self.interfaces.forget)
        http_workers.classes = class_names
        http_workers.on_wrong_interface = self.grpc_workers.on_wrong_interface = self._on_wrong_interface
        self.grpc_workers.on_drain = self._on_drain

    def _on_interface_detected(self, worker: WorkerId, address: tuple[str, int], interface: int) -> None:
        self.interfaces.detected(worker, address, interface)

    def _on_wrong_interface(self, endpoint: Endpoint) -> None:
        self.interfaces.mismatched(endpoint.id)

    def _on_drain(self, endpoint: Endpoint) -> None:
        self.interfaces.drain_announced(endpoint.id)

    def close(self) -> None:
        """Stop probing interfaces, and close the connections to gRPC workers."""
        self.prober.close()
        self.grpc_workers.close()
