"""Starts and ends: signals before their handlers, twice and beside each other; how soon a start is ready."""

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
    call,
    healthy,
    program,
    story,
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
def test_a_signal_before_its_handler_is_there_is_kept(early: signal.Signals, tmp_path: Path) -> None:
    """The program has begun to read its configuration, and is held there: a SIGHUP used to end it (129), a
    SIGTERM too, whatever stood in the queue of its listener by then."""

    @story
    async def run() -> None:
        pipe = tmp_path / "config.json"
        os.mkfifo(pipe)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pipitshed",
            "serve",
            cwd=ROOT,
            env=os.environ | {"LB_CONFIG": str(pipe)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            held = await asyncio.to_thread(open, pipe, "w")  # it is there once the program opens its end
            process.send_signal(early)
            pipe.unlink()
            pipe.write_text(CONFIG)  # what SIGHUP reads
            held.write(CONFIG)
            held.close()
            assert process.stdout is not None
            lines = []
            awaited = "configuration reloaded" if early is signal.SIGHUP else "ended:"
            while not any(awaited in line for line in lines):
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


@story
async def test_signals_during_the_end_neither_end_it_sooner_nor_hold_it() -> None:
    """A second SIGTERM, a SIGHUP with a file that is no use, and one with a file that is: what was taken is
    answered, and the exit code is 0."""
    async with Planner("p1", act=lambda run: run.say("started")) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        run = await planner.wait_for(1)
        told = running.config.read_text()
        running.process.send_signal(signal.SIGTERM)
        await running.logged("ending:")
        running.process.send_signal(signal.SIGTERM)
        running.reload('{"settings": ')
        await running.logged("the previous one stays in force")
        running.reload(told)
        await running.logged("configuration reloaded")
        run.say("done", result="kept")
        assert (await client.answer())[::2] == (200, b"kept")
        await running.logged("ended:")


def cpu_seconds(process: int) -> float:
    """User and system time of a process so far."""
    told = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("discovery", ["hangs", "turns calls down", "is gone"])
def test_ten_restarted_processes_are_ready_within_10_s_whatever_discovery_does(discovery: str) -> None:
    """Nine in ten have to be: each is by the list it knew, a while after its start or once nobody takes its
    calls, and needs so little of the processor for it that a tenth of a core would do. The operators' address
    says so too."""

    class Down(Peer):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            if discovery == "hangs":
                await reader.read()
            else:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    async def start(planner: Planner, down: Catalog) -> tuple[float, float, bool]:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        async with program(planner, catalog=down, mgmt=True) as running:
            await healthy(running.port)
            took, used = loop.time() - begun, cpu_seconds(running.process.pid)
            client = await HttpClient.to(running.port)
            client.ask("a1")
            served = (await client.answer())[0] == 200
            operators = 503
            while served and operators != 200 and loop.time() - begun < 10:
                operators, _ = await call(running.mgmt_port, b"GET /-/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n")
                await asyncio.sleep(0.1)
            return took, used, served and operators == 200

    @story
    async def run() -> None:
        async with Planner("p1") as planner, Down() as down:
            if discovery == "is gone":
                await down.__aexit__()
            starts = await asyncio.gather(*(start(planner, down) for _ in range(10)))
        assert sum(took < 10.0 and ready for took, _, ready in starts) >= 9
        assert sorted(used for _, used, _ in starts)[8] < 1.0

    run()
