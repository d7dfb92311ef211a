"""What the proxy needs of a worker client, and the endpoint that a client sends attempts to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from pipitshed.scheduling.events import WorkerId

if TYPE_CHECKING:
    from pipitshed.proxy.attempt import Attempt


class WorkerClient(Protocol):
    """Sends attempts to endpoints of its protocol, and reports one outcome for each to the proxy."""

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt; it may wait for a connection first."""

    def abort(self, attempt: Attempt) -> bool:
        """Stop an attempt for good; return whether it may have run (not before it is written or assigned)."""
        ...

    def probe(self, endpoint: Endpoint) -> None:
        """Find out whether the endpoint's worker answers."""

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Close the endpoint's connections that carry nothing."""


@dataclass(slots=True)
class Endpoint:
    """A worker's address and the client for it; the address is read by that client alone."""

    id: WorkerId
    client: WorkerClient
    address: Any
    interface: int = 1  # the worker interface that it speaks; 0 while that is being detected
