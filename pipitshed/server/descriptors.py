"""Divides the process's file descriptors between clients, workers and other uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pipitshed.frontends.http import HttpFrontend

if TYPE_CHECKING:
    from pipitshed.frontends.gearman import GearmanFrontend

HTTP_CLIENTS_FRACTION = 0.4  # of the descriptors, for connections of HTTP clients
GEARMAN_FRACTION = 0.2  # of the descriptors, for connections of Gearman clients and workers
RESERVE_DIVISOR = 12  # 1/12 of the descriptors is reserved for discovery and the admin address
RESERVE_MIN_COUNT = 20  # reserved at least: an idle process's open descriptors and one discovery call
WORKERS_MIN_DIVISOR = 8  # 1/8 of the descriptors is for attempts, however many clients are connected


class DescriptorBudget:
    """Limits the connections of clients, and to workers, by the file descriptors of the process."""

    def __init__(self, descriptor_count: int) -> None:
        self.descriptor_count = descriptor_count  # of the process; a reload may change it
        self._http: HttpFrontend | None = None
        self._gearman: GearmanFrontend | None = None

    def max_http_clients(self) -> int:
        """The maximum number of HTTP client connections."""
        return int(self.descriptor_count * HTTP_CLIENTS_FRACTION)

    def max_gearman_peers(self) -> int:
        """The maximum number of connections of Gearman clients and workers."""
        return int(self.descriptor_count * GEARMAN_FRACTION)

    def attach_frontends(self, http: HttpFrontend, gearman: GearmanFrontend | None) -> None:
        """Count these frontends' connections from now on.

        The frontends are built after the worker clients, which already need the budget.
        """
        self._http = http
        self._gearman = gearman

    def left_for_workers(self) -> int:
        """The maximum number of connections to workers, given the clients that are connected now."""
        client_count = 0
        if self._http is not None:
            client_count += len(self._http.connections) + len(self._http.closing)
        if self._gearman is not None:
            client_count += len(self._gearman.connections)
        reserve = max(RESERVE_MIN_COUNT, self.descriptor_count // RESERVE_DIVISOR)
        left = self.descriptor_count - reserve - client_count
        return max(left, self.descriptor_count // WORKERS_MIN_DIVISOR)
