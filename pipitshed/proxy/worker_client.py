"""The interface between the proxy and a worker client, and the endpoint that attempts are sent to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from pipitshed.scheduling.events import Outcome, WorkerId

if TYPE_CHECKING:
    from pipitshed.proxy.attempt import Attempt


class WorkerClient(Protocol):
    """Sends attempts to endpoints by one protocol, and reports one outcome for each to the forwarder."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; it may wait for a connection first."""

    def abort(self, attempt: Attempt) -> bool:
        """Stop an attempt; return whether it may have run, that is, was written or assigned to a worker."""
        ...

    def defer_abort(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Report whether an attempt stays outstanding, as stopping it now would end other attempts.

        If so, no further attempt starts at its worker, and it is finished with this outcome once the others
        have ended, unless it goes on before.
        """
        ...

    def probe(self, endpoint: Endpoint) -> None:
        """Check whether the endpoint's worker answers; the outcome goes to `probe_finished`."""

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Close the endpoint's connections that carry no attempt."""


@dataclass(slots=True)
class Endpoint:
    """A worker's address and its client; only that client interprets the address."""

    id: WorkerId
    client: WorkerClient
    address: Any
    interface: int = 1  # version of the worker interface; 0 until it is detected
