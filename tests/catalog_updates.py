"""Updates of the endpoint list as the catalog sends them, and a catalog with many workers."""

from __future__ import annotations

import json

from loopback import Catalog, Planner, Writer

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def catalog_entries(count: int, lifecycle: str = "draining") -> list[dict[str, object]]:
    """Catalog entries of workers that get no jobs, with names as long as real ones."""
    return [
        {
            "instanceId": f"s-{number:08x}",
            "hostPort": f"10.{number >> 8}.{number & 255}.7:5000",
            "zone": "lima-norte",
            "machineType": "standard",
            "cell": number // 12,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for number in range(count)
    ]


class LargeCatalog(Catalog):
    """Adds `others` further workers to each snapshot, and optionally indents the updates."""

    def __init__(self, *planners: Planner, others: int, indent: int | None = None) -> None:
        super().__init__(*planners)
        self.others, self.indent = catalog_entries(others), indent

    def tell(self, writer: Writer, reset: bool, instances: list[dict[str, object]]) -> None:
        self.generation += 1
        listed = instances + self.others if reset else instances
        writer.write(chunk(update_bytes(self.generation, reset, listed, self.indent)))


def update_bytes(
    version: int, reset: bool, instances: list[dict[str, object]], indent: int | None = None
) -> bytes:
    """One update as a watch receives it."""
    text = json.dumps({"generation": version, "reset": reset, "instances": instances}, indent=indent)
    return text.encode() + b"\n"
