"""Tests of start and shutdown: signals before their handlers and during shutdown, and time to readiness."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from loopback import (
    ROOT,
    SETTINGS,
    Catalog,
    HttpClient,
    Peer,
    Planner,
    Reader,
    Writer,
    admin_request,
    async_test,
    program,
    wait_until_healthy,
)

CONFIG = json.dumps(
    {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c",
        "discovery": "127.0.0.1:1",
        "limits": {"sockets": 256},
        "known": {"generation": 1, "reset": True, "instances": []},
        "settings": SETTINGS,
    }
)


@pytest.mark.parametrize("early", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_before_its_handler_is_installed_is_delivered_later(
    early: signal.Signals, tmp_path: Path
) -> None:
    """Guards against a signal that ends the process before its handler is installed (exit code 129 for
    SIGHUP): clients in the listener's accept queue then get no answer. The configuration file is a named
    pipe, which holds the process at that point."""

    @async_test
    async def run() -> None:
        config_pipe = tmp_path / "config.json"
        os.mkfifo(config_pipe)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pipitshed",
            "serve",
            cwd=ROOT,
            env=os.environ | {"LB_CONFIG": str(config_pipe)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            # returns once the process has opened its end of the pipe
            pipe_end = await asyncio.to_thread(open, config_pipe, "w")
            process.send_signal(early)
            config_pipe.unlink()
            config_pipe.write_text(CONFIG)  # read at SIGHUP
            pipe_end.write(CONFIG)
            pipe_end.close()
            assert process.stdout is not None
            lines = []
            awaited_text = "configuration reloaded" if early is signal.SIGHUP else "ended:"
            while not any(awaited_text in line for line in lines):
                lines.append((await process.stdout.readline()).decode())
                assert lines[-1], lines
            if early is signal.SIGHUP:
                process.send_signal(signal.SIGTERM)
            await process.communicate()
            assert process.returncode == 0 and any("listening on" in line for line in lines)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run()


@async_test
async def test_signals_during_shutdown_neither_shorten_nor_prolong_it() -> None:
    """After SIGTERM come a second SIGTERM, a SIGHUP with an invalid file, and one with a valid file. The
    accepted request is still answered, and the exit code is 0."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        run = await planner.wait_for(1)
        valid_file = running.config.read_text()
        running.process.send_signal(signal.SIGTERM)
        await running.logged("ending:")
        running.process.send_signal(signal.SIGTERM)
        running.reload('{"settings": ')
        await running.logged("the previous one stays in force")
        running.reload(valid_file)
        await running.logged("configuration reloaded")
        run.send_event("done", result="kept")
        assert (await client.answer())[::2] == (200, b"kept")
        await running.logged("ended:")


def cpu_seconds(pid: int) -> float:
    """User and system time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("discovery", ["hangs", "rejects calls", "is gone"])
def test_ten_restarted_processes_are_ready_within_10_s_when_discovery_fails(discovery: str) -> None:
    """Nine of ten processes must be ready: each serves with its cached list, either READY_WITHOUT_LIST_S
    after the start or once discovery refuses connections. They use so little CPU that a tenth of a core
    suffices. The admin address reports readiness too."""

    class FailingCatalog(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            if discovery == "hangs":
                await reader.read()
            else:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    async def start(planner: Planner, failing_catalog: Catalog) -> tuple[float, float, bool]:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with program(planner, catalog=failing_catalog, mgmt=True) as running:
            await wait_until_healthy(running.port)
            ready_s, cpu_s = loop.time() - started_at, cpu_seconds(running.process.pid)
            client = await HttpClient.to(running.port)
            client.ask("a1")
            answered = (await client.answer())[0] == 200
            admin_status = 503
            while answered and admin_status != 200 and loop.time() - started_at < 10:
                admin_status, _ = await admin_request(
                    running.mgmt_port, b"GET /-/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n"
                )
                await asyncio.sleep(0.1)
            return ready_s, cpu_s, answered and admin_status == 200

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, FailingCatalog() as failing_catalog:
            if discovery == "is gone":
                await failing_catalog.__aexit__()
            starts = await asyncio.gather(*(start(planner, failing_catalog) for _ in range(10)))
        assert sum(ready_s < 10.0 and ready for ready_s, _, ready in starts) >= 9
        assert sorted(cpu_s for _, cpu_s, _ in starts)[8] < 1.0

    run()
