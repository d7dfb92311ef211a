"""How the process's file descriptors are divided between clients, workers and the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pipitshed.frontends.http import HttpFrontend

if TYPE_CHECKING:
    from pipitshed.frontends.gearman import GearmanFrontend

HTTP_CLIENTS_FRACTION = 0.4  # of the descriptors, for the connections of HTTP clients
GEARMAN_FRACTION = 0.2  # and for Gearman's; the rest is for attempts
RESERVE_DIVISOR = 12  # one in so many is for neither clients nor attempts: discovery, the admin address
RESERVE_MIN_COUNT = 20  # of those at least: what an idle process has open, and one call to discovery
WORKERS_MIN_DIVISOR = 8  # one in so many is for attempts however many clients are connected


class DescriptorBudget:
    """Says how many descriptors the clients' connections leave for connections to workers."""

    def __init__(self, descriptor_count: int) -> None:
        self.descriptor_count = descriptor_count  # of the process; new settings may change it
        self._http: HttpFrontend | None = None
        self._gearman: GearmanFrontend | None = None

    @property
    def http_client_count(self) -> int:
        """How many HTTP clients may be connected."""
        return int(self.descriptor_count * HTTP_CLIENTS_FRACTION)

    @property
    def gearman_peer_count(self) -> int:
        """How many Gearman clients and workers may be connected."""
        return int(self.descriptor_count * GEARMAN_FRACTION)

    def attach_frontends(self, http: HttpFrontend, gearman: GearmanFrontend | None) -> None:
        """Count these frontends' connections; the worker clients, which need the budget, come before them."""
        self._http = http
        self._gearman = gearman

    def left_for_workers(self) -> int:
        """How many connections to workers there may be now."""
        client_count = 0
        if self._http is not None:
            client_count += len(self._http.connections) + len(self._http.closing)
        if self._gearman is not None:
            client_count += len(self._gearman.connections)
        reserve = max(RESERVE_MIN_COUNT, self.descriptor_count // RESERVE_DIVISOR)
        left = self.descriptor_count - reserve - client_count
        return max(left, self.descriptor_count // WORKERS_MIN_DIVISOR)
