"""The registry of worker interfaces without I/O."""

from collections.abc import Callable
from typing import Any

from pipitshed.discovery.catalog import CatalogEntry, EndpointParser, NameIndex
from pipitshed.discovery.worker_interfaces import InterfaceRegistry
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.scheduling.events import UpdateKind


class RegistryRig:
    """The module without I/O: what it asks is kept, and answered by hand."""

    def __init__(self, told: dict[str, int] | None = None, default: int = 0) -> None:
        self.news: list[Any] = []
        self.asked: list[tuple[bytes, tuple[str, int]]] = []
        self.later: list[tuple[float, Callable[[], None]]] = []
        self.table = EndpointTable(self.news.append)
        self.interfaces = InterfaceRegistry(
            self.table,
            {1: "http", 2: "grpc"},
            told or {},
            default,  # type: ignore[dict-item]
            lambda worker, address: self.asked.append((worker, address)),
            lambda wait, what: self.later.append((wait, what)),
        )
        self.parser = EndpointParser("test", NameIndex(["z"]), NameIndex([]), "http", self.interfaces)  # type: ignore[arg-type]

    def list_entries(self, *entries: CatalogEntry) -> None:
        self.table.update("test", UpdateKind.DELTA, 1, [self.parser.row(entry) for entry in entries])

    def entry(self, name: str) -> Any:
        return next(
            entry for news in reversed(self.news) for entry in news.entries if entry.worker == name.encode()
        )


def catalog_entry(name: str = "p1", started: float = 1.0, **more: Any) -> CatalogEntry:
    return CatalogEntry(name, "127.0.0.1:7", "z", started_at_ms=started, **more)
