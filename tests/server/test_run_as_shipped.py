"""Tests that `run` in deploy/balancer.toml starts only the expected sockets, threads, children and packages.
Optional features are off there, and only an option can enable them."""

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

RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
# The only packages from the registry; the last two are a dependency of uvloop, and one that the environment
# loads.
REGISTRY_PACKAGES = {"click", "httptools", "msgspec", "uvloop", "typing_extensions", "_distutils_hack"}
LOADED_PACKAGES = {
    "admin",
    "cli",
    "config",
    "discovery",
    "flow_control",
    "frontends",
    "protocols",
    "proxy",
    "scheduling",
    "server",
    "upstream",
}
OPTIONAL_MODULES = {
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
THREAD_COUNT = 1
IMPORTED_MODULE = re.compile(r"import time:\s+\d+ \|\s+\d+ \| +(\S+)")


def test_run_has_no_options() -> None:
    assert RUN_COMMAND == "exec .venv/bin/python -m pipitshed serve"


def _sockets(pid: int) -> list[str]:
    """The state of each socket of a process: listening, connected, or no TCP/IPv4 socket."""
    inodes = set()
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        if (socket_link := re.match(r"socket:\[(\d+)\]", os.readlink(fd))) is not None:
            inodes.add(socket_link[1])
    states = []
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        if parts[9] in inodes:
            inodes.discard(parts[9])
            states.append({"0A": "listening", "01": "connected"}.get(parts[3], parts[3]))
    return sorted(states) + ["of no TCP/IPv4"] * len(inodes)


@async_test
async def test_run_starts_only_the_expected_sockets_threads_and_packages() -> None:
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
            # Files at default paths and environment variables enable nothing.
            env = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
            env |= {
                "LB_CONFIG": str(path),
                "PYTHONPROFILEIMPORTTIME": "1",
                "PIPITSHED_FLEET": "fleet.toml",
                "LB_FLEET": "fleet.toml",
            }
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN_COMMAND, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
            )
            assert process.stderr is not None
            try:
                await asyncio.wait_for(catalog.watches.get(), 15.0)  # it runs, and watches the endpoint list
                threads = len(list(Path(f"/proc/{process.pid}/task").iterdir()))
                children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
                sockets = _sockets(process.pid)
            finally:
                process.send_signal(signal.SIGTERM)
                import_log = (await process.stderr.read()).decode()
                assert await process.wait() == 0, import_log
    loaded = set(IMPORTED_MODULE.findall(import_log))
    own_modules = {name.split(".", 1)[1] for name in loaded if name.startswith("pipitshed.")}
    assert {
        name.split(".")[0] for name in own_modules
    } <= LOADED_PACKAGES and not own_modules & OPTIONAL_MODULES, sorted(own_modules)
    registry_packages = {name.split(".")[0] for name in loaded} & _installed()
    assert registry_packages <= REGISTRY_PACKAGES, sorted(registry_packages)
    assert (threads, children) == (THREAD_COUNT, [])
    # the listener, the watch at discovery, and the socket pair that wakes the loop at signals
    assert sockets == ["connected", "listening", "of no TCP/IPv4", "of no TCP/IPv4"], sockets


def _installed() -> set[str]:
    """The import names of the registry's packages in this environment."""
    from importlib.metadata import packages_distributions

    return {
        name for name, distributions in packages_distributions().items() if distributions != ["pipitshed"]
    }
