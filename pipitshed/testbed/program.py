"""Runs the scheduler as a child process between stand-ins, with a generated configuration."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.resources
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pipitshed.testbed.fleet.standins import ZONES

TENANTS = {"andes-retail": 0.51, "costa-carga": 0.18, "sur-express": 0.18, "selva-trans": 0.13}
TEMPLATES = importlib.resources.files("pipitshed.templates")
START_TIMEOUT_S = 20.0  # s for each line of the start-up log


def settings(rate: float = 1000.0) -> dict[str, Any]:
    """The settings of a deployment like the operators', with classes `quote` and `book`."""
    return {
        "areas": list(ZONES),
        "shapes": ["fast", "standard", "slow"],
        "discovery": "on_request",
        "familyInfo": {"tellsStart": True, "progress": 2000.0},
        "locality": 0,
        "siblings": 1,
        "tick": 2.0,
        "weights": "rough",
        "permissions": {
            "cancel": True,
            "connectTimeout": 250.0,
            "idleClose": 30000.0,
            "maxAttempts": 5,
            "probes": True,
            "retryAfter": True,
        },
        "rules": {
            "answerSlack": 8.0,
            "askWithin": 10000.0,
            "drainGrace": 1500.0,
            "cold": 1000.0,
            "coldFrom": 0.5,
            "tipMultiple": 3.0,
            "overloadFor": 1500.0,
        },
        "services": [
            {"name": "quote", "deadline": 5000.0, "goalTime": 1000.0, "gain": 5.0, "repeat": "retryable"},
            {
                "name": "book",
                "deadline": 15000.0,
                "goalTime": 3000.0,
                "gain": 8.0,
                "repeat": "dedup",
                "keyScope": "zone",
                "window": 25000.0,
            },
        ],
        "stats": {"fields": [], "source": "off"},
        "tenants": [
            {"name": name, "share": share, "allowancePerS": rate * share} for name, share in TENANTS.items()
        ],
    }


def configuration(
    listen: str, discovery: str, known: list[dict[str, object]] | None = None
) -> dict[str, Any]:
    """Make the content of the file that LB_CONFIG names."""
    rows = {"known": {"generation": 1, "reset": True, "instances": known}} if known is not None else {}
    return rows | {
        "name": "lab",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(),
    }


def front_text(gearman: str) -> str:
    """Make the front file: translation enabled, and Gearman where an address is given."""
    listen = f'listen = ["{gearman}"]' if gearman else "listen = []"
    return f"""[gearman]
{listen}

[gearman.functions]            # the oldest depots speak version 0, the others version 1
plan_quote = {{ class = "quote", tenant = "selva-trans", form = 0 }}
book_pallet = {{ class = "book", tenant = "selva-trans", form = 0 }}
plan_quote_v1 = {{ class = "quote", tenant = "sur-express", form = 1 }}
book_pallet_v1 = {{ class = "book", tenant = "sur-express", form = 1 }}

[translation]
file = "translation.toml"
"""


@dataclass
class RunningScheduler:
    """The scheduler's process, its ports and its log lines."""

    process: asyncio.subprocess.Process
    http: int
    gearman: int
    log: list[str]
    config: Path = Path()  # SIGHUP reloads this file

    def cpu(self) -> float:
        """CPU seconds that the process has used so far, from /proc."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self) -> float:
        """Peak resident memory of the process in MiB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0


@contextlib.asynccontextmanager
async def scheduler(
    discovery_port: int,
    http: str = "127.0.0.1:0",
    gearman: str = "127.0.0.1:0",
    translate: bool = True,
    root: Path | None = None,
    known: list[dict[str, object]] | None = None,
    plan: bytes = b"",
    adjust: Callable[[dict[str, Any]], None] | None = None,
) -> AsyncIterator[RunningScheduler]:
    """Run one scheduler; SIGTERM stops it at the end of the block.

    Args:
        discovery_port: Port of the stand-in discovery.
        http: Address for HTTP clients.
        gearman: Address for Gearman clients; empty for none.
        translate: Whether messages are translated.
        root: Working directory, to run another checkout than this one.
        known: Discovery rows in the configuration.
        plan: Content of a placement plan file; empty for none.
        adjust: Changes the configuration before it is written.
    """
    with tempfile.TemporaryDirectory(prefix="pipitshed-lab-") as folder:
        path = Path(folder)
        config = configuration(http, f"127.0.0.1:{discovery_port}", known)
        if adjust is not None:
            adjust(config)
        (path / "config.json").write_text(json.dumps(config))
        _write_front(path, gearman, translate, plan)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pipitshed",
            "serve",
            "--front",
            str(path / "front.toml"),
            env=os.environ | {"LB_CONFIG": str(path / "config.json")},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
            cwd=root,
        )
        running = RunningScheduler(process, 0, 0, [], path / "config.json")
        assert process.stdout is not None
        try:
            ports: list[int] = []
            while len(ports) < (2 if gearman else 1):
                line = (await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)).decode()
                if "listening" in line:
                    ports.append(int(line.rpartition(":")[2]))
                elif not line.startswith("INFO"):
                    raise RuntimeError(f"the scheduler did not start: {line.strip()}")
            running.http, running.gearman = ports[0], ports[1] if gearman else 0
            reading = asyncio.create_task(_read(process.stdout, running.log))
            yield running
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            await reading
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


def _write_front(folder: Path, gearman: str, translate: bool, plan: bytes) -> None:
    """Write the front file, and the files that it refers to."""
    text = front_text(gearman)
    if not translate:
        text = text.partition("[translation]")[0].replace(", form = 0", "").replace(", form = 1", "")
    if plan:
        text += '\n[placement]\nplan = "plan.json"\n'
        (folder / "plan.json").write_bytes(plan)
    (folder / "front.toml").write_text(text)
    (folder / "translation.toml").write_text((TEMPLATES / "translation.toml").read_text())


async def _read(stream: asyncio.StreamReader, log: list[str]) -> None:
    async for line in stream:
        log.append(line.decode().rstrip())
