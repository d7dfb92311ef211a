"""The registry of worker interfaces, without I/O."""

from collections.abc import Callable
from typing import Any

from pipitshed.discovery.catalog import CatalogEntry, EndpointParser, NameIndex
from pipitshed.discovery.worker_interfaces import InterfaceRegistry
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.scheduling.events import UpdateKind


class RegistryRig:
    """A registry whose probes and timers are recorded; the test answers and fires them itself."""

    def __init__(self, configured: dict[str, int] | None = None, default: int = 0) -> None:
        self.events: list[Any] = []
        self.probes: list[tuple[bytes, tuple[str, int]]] = []
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.table = EndpointTable(self.events.append)
        self.interfaces = InterfaceRegistry(
            self.table,
            {1: "http", 2: "grpc"},
            configured or {},
            default,  # type: ignore[dict-item]
            lambda worker, address: self.probes.append((worker, address)),
            lambda delay_s, callback: self.timers.append((delay_s, callback)),
        )
        self.parser = EndpointParser(
            "test",
            NameIndex(["z"]),
            NameIndex([]),
            "http",  # type: ignore[arg-type]
            self.interfaces,
            self.table.last_known,
        )

    def list_entries(self, *entries: CatalogEntry) -> None:
        self.table.update("test", UpdateKind.DELTA, 1, [self.parser.row(entry) for entry in entries])

    def entry(self, name: str) -> Any:
        return next(
            entry
            for events in reversed(self.events)
            for entry in events.entries
            if entry.worker == name.encode()
        )


def catalog_entry(name: str = "p1", started_at_ms: float = 1.0, **changes: Any) -> CatalogEntry:
    return CatalogEntry(name, "127.0.0.1:7", "z", started_at_ms=started_at_ms, **changes)
