"""Two members' clients submit jobs of their own functions, and both number their orders from 1."""

# ruff: noqa: D102, D103

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

FRONT = """
[gearman]
listen = ["127.0.0.1:{port}"]
[gearman.functions]
book_andes = {{ class = "book", tenant = "andes-retail", patience-s = 15.0 }}
book_costa = {{ class = "book", tenant = "costa-carga", patience-s = 15.0 }}
"""
TENANTS = [
    {"name": "andes-retail", "share": 0.6, "allowancePerS": 100.0},
    {"name": "costa-carga", "share": 0.4, "allowancePerS": 100.0},
]
ORDERS = 4  # of each member


async def case(record: rig.Record, folder: Path, cleanup: rig.Cleanup) -> list[str]:
    ran: list[tuple[str, str]] = []

    async def run(function: str, unique: str, data: str) -> str:
        record.add(f"worker runs {function} unique={unique} data={data!r}")
        ran.append((function, data))
        await asyncio.sleep(0.2)
        return f"{function} did {data}"

    discovery = rig.Discovery(record, [])
    cleanup.add(discovery)
    await discovery.start()
    front, port = folder / "front.toml", rig.free_port()
    front.write_text(FRONT.format(port=port))
    scheduler = rig.Scheduler(folder, record, rig.config(discovery, {"tenants": TENANTS}), f"--front {front}")
    cleanup.add(scheduler)
    await scheduler.start()
    await scheduler.ready()
    functions = ["book_andes", "book_costa"]
    workers = [asyncio.ensure_future(rig.gearman_worker(port, functions, run)) for _ in range(2)]
    await asyncio.sleep(0.5)

    broken: list[str] = []

    async def submit(function: str, unique: str, data: str) -> None:
        client = await rig.Gearman.connect(port)
        handle = await client.submit(function, unique, data)
        record.add(f"client submits {function} unique={unique} data={data!r}; its handle is {handle}")
        state, _, result = await client.result()
        record.add(f"client of {function} {data!r} gets {state} {result!r}")
        client.writer.close()
        if state == "done" and result != f"{function} did {data}":
            times = ran.count((function, data))
            broken.append(f"{function} {data!r} was served with {result!r}; its own job ran {times} times")

    for number in range(1, ORDERS + 1):
        await submit("book_andes", f"order-{number}", f"Andes pallet {number}")
        second = f"order-{number}" if rig.TROUBLE else f"costa-order-{number}"
        await submit("book_costa", second, f"Costa pallet {number}")
    for worker in workers:
        worker.cancel()
    return broken


rig.main(case, FOLDER)
