"""What `run` in deploy/balancer.toml starts is held to what it was: sockets, threads, children and packages.
Whatever is new is off there, and an option that `run` lacks is the only way to turn it on."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import tempfile
import tomllib
from pathlib import Path

from loopback import ROOT, SETTINGS, Catalog, Planner, async_test

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
# Of the registry, and no other; the last two are what uvloop asks for, and what an environment itself loads.
PACKAGES = {"click", "httptools", "msgspec", "uvloop", "typing_extensions", "_distutils_hack"}
PARTS = {
    "admin",
    "cli",
    "config",
    "discovery",
    "frontends",
    "protocols",
    "proxy",
    "scheduling",
    "server",
    "upstream",
}
UNASKED = {
    "cli.client",
    "cli.files",
    "cli.fleet",
    "cli.place",
    "cli.settings",
    "cli.settings_status",
    "cli.testbed",
    "cli.text_table",
    "config.row_overlay",
    "discovery.dns_sd",
    "frontends.gearman",
    "protocols.gearman",
    "proxy.deduplication",
    "upstream.gearman",
    "discovery.placement_plan",
    "discovery.worker_interfaces",
    "server.translation",
    "upstream.grpc",
    "upstream.grpc.client",
    "upstream.grpc.connection",
    "upstream.grpc.control_frames",
    "upstream.grpc.keepalive",
    "upstream.grpc.outcomes",
    "upstream.grpc.stream",
    "upstream.interface_probe",
}
THREADS = 1
WORD = re.compile(r"import time:\s+\d+ \|\s+\d+ \| +(\S+)")


def test_run_asks_for_nothing_by_option() -> None:
    assert RUN == "exec .venv/bin/python -m pipitshed serve"


def _sockets(pid: int) -> list[str]:
    """The process's sockets: listening, connected, or none of the network."""
    inodes = set()
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        if (found := re.match(r"socket:\[(\d+)\]", os.readlink(fd))) is not None:
            inodes.add(found[1])
    seen = []
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        if parts[9] in inodes:
            inodes.discard(parts[9])
            seen.append({"0A": "listening", "01": "connected"}.get(parts[3], parts[3]))
    return sorted(seen) + ["of no TCP/IPv4"] * len(inodes)


@async_test
async def test_what_run_starts_has_the_sockets_threads_and_packages_it_had() -> None:
    async with Planner("p1") as planner, Catalog(planner) as catalog:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(
                json.dumps(
                    {
                        "name": "n0",
                        "listen": "127.0.0.1:0",
                        "discovery": f"127.0.0.1:{catalog.port}",
                        "seed": "8c",
                        "settings": SETTINGS,
                    }
                )
            )
            # Files that lie about and variables of the environment turn nothing on.
            env = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
            env |= {
                "LB_CONFIG": str(path),
                "PYTHONPROFILEIMPORTTIME": "1",
                "PIPITSHED_FLEET": "fleet.toml",
                "LB_FLEET": "fleet.toml",
            }
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
            )
            assert process.stderr is not None
            try:
                await asyncio.wait_for(catalog.watches.get(), 15.0)  # it is up, and watches the list
                threads = len(list(Path(f"/proc/{process.pid}/task").iterdir()))
                children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
                sockets = _sockets(process.pid)
            finally:
                process.send_signal(signal.SIGTERM)
                told = (await process.stderr.read()).decode()
                assert await process.wait() == 0, told
    loaded = set(WORD.findall(told))
    ours = {name.split(".", 1)[1] for name in loaded if name.startswith("pipitshed.")}
    assert {name.split(".")[0] for name in ours} <= PARTS and not ours & UNASKED, sorted(ours)
    registry = {name.split(".")[0] for name in loaded} & _installed()
    assert registry <= PACKAGES, sorted(registry)
    assert (threads, children) == (THREADS, [])
    # the listener, the watch at discovery, and the pair by which the loop hears of signals
    assert sockets == ["connected", "listening", "of no TCP/IPv4", "of no TCP/IPv4"], sockets


def _installed() -> set[str]:
    """What the registry's packages in this environment are imported as."""
    from importlib.metadata import packages_distributions

    return {name for name, of in packages_distributions().items() if of != ["pipitshed"]}
