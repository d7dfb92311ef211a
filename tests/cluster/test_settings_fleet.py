"""Replicated settings among schedulers on loopback: put, confirmed, rejected, taken over and stored."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any
from unittest.mock import Mock

import pytest
from click.testing import CliRunner
from loopback import (
    FRONT,
    SETTINGS,
    Catalog,
    HttpClient,
    Planner,
    Program,
    Run,
    async_test,
    program,
    read_metrics,
)
from test_peers import node_config, wait_until

from pipitshed.cli.commands import main
from pipitshed.cluster import row_store
from pipitshed.cluster import settings as replicated_settings
from pipitshed.cluster.codec import Codec
from pipitshed.cluster.messages import ClusterMessage, CommitStatusRequest, Put, PutResponse
from pipitshed.cluster.node import ClusterNode
from pipitshed.config.front import load_front
from pipitshed.config.platform import Config, load_platform_config, with_settings
from pipitshed.replication.commit_tracking import AppliedReport
from pipitshed.server.server import Scheduler
from pipitshed.testbed.fleet.processes import loopback_block

SHARE, DEADLINE = "tenant/andes-retail/share", "class/quote/deadline"


@dataclass
class Node:
    """A scheduler's cluster node, and the settings that its rows change."""

    config: Config
    cluster_node: ClusterNode = field(init=False)
    applied_configs: list[Config] = field(default_factory=list)
    apply_fails: bool = False  # whether `apply` raises an exception

    def raw(self) -> dict[str, Any]:
        assert self.config.raw is not None
        return self.config.raw

    def read(self, config: Config) -> None:
        """Reload the settings file: `config` is its new content."""
        assert self.cluster_node.settings is not None and config.raw is not None
        self.config = self.cluster_node.settings.reapply_over(
            config.raw, lambda settings: with_settings(config, settings)
        )

    def apply(self, settings: dict[str, Any]) -> None:
        if self.apply_fails:
            raise RuntimeError("planted")
        self.config = with_settings(self.config, settings)
        self.applied_configs.append(self.config)

    @property
    def share(self) -> float:
        return self.config.settings.tenants[0].quota_share

    @property
    def peer(self) -> str:
        return f"127.0.0.1:{self.cluster_node.address[1]}"


def config(folder: Path, **settings: object) -> Config:
    path = folder / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS | settings}))
    return load_platform_config({"LB_CONFIG": str(path)})


@asynccontextmanager
async def nodes(
    folder: Path, *settings: dict[str, object], secret: bytes = b"", rows_file: str = ""
) -> AsyncIterator[list[Node]]:
    """Nodes in one cluster, one for each of `settings`, once all have met and caught up."""
    loop, started = asyncio.get_running_loop(), list[Node]()
    for index, changes in enumerate(settings):
        node = Node(config(folder, **changes))
        node_settings = node_config(
            f"s{index}", *(member.cluster_node.address for member in started[:2]), secret=secret
        )
        if rows_file:
            object.__setattr__(node_settings, "rows_file", folder / f"{rows_file}-{index}")
        node.cluster_node = ClusterNode(
            node_settings, "", loop, replicated_settings.SettingsTarget(node.raw, node.apply)
        )
        started.append(node)
        await node.cluster_node.start()
    await wait_until(
        lambda: all(
            len(member.cluster_node.membership.view.live_members()) == len(started)
            and member.cluster_node.settings.table.caught_up
            for member in started
        )
    )  # type: ignore[union-attr]
    try:
        yield started
    finally:
        for member in started:
            member.cluster_node.close()


async def call(*arguments: str) -> str:
    """Run `pipitshed settings`; return its exit code and its output."""
    result = await asyncio.to_thread(CliRunner().invoke, main, ["settings", *arguments, "--cluster", "red"])
    return f"{result.exit_code} {result.output}"


def with_folder(body: Callable[[Path], Any]) -> Callable[[Path], None]:
    """Make a test of a coroutine that takes a folder."""

    def test(tmp_path: Path) -> None:
        async_test(lambda: body(tmp_path))()

    test.__name__, test.__doc__ = body.__name__, body.__doc__
    return test


@with_folder
async def test_row_is_put_taken_over_deleted_and_shown(folder: Path) -> None:
    async with nodes(folder, {}, {}, {}) as (s0, s1, s2):
        assert (await call("put", SHARE, "0.4", "--peer", s1.peer)) == (
            f"0 accepted by s1: {SHARE} = 0.4, as 1.1\nin force at all 3 in touch\n"
        )
        assert [node.share for node in (s0, s1, s2)] == [0.4] * 3
        assert f"2 refused by s0: {SHARE}: s1 writes" in await call("put", SHARE, "0.5", "--peer", s0.peer)
        assert "as 2.2\nin force" in await call("put", SHARE, "0.5", "--take-over", "--peer", s0.peer)
        assert "as 2.3\nin force" in await call("put", SHARE, "0.6", "--peer", s0.peer)
        shown = json.loads((await call("show", "--json", "--peer", s2.peer))[2:])
        [row] = shown["rows"]
        assert shown["name"] == "s2" and (row["value"], row["file"], row["writer"]) == (0.6, 1.0, "s0")
        assert (await call("delete", SHARE, "--peer", s0.peer)).startswith("0 ")
        assert [node.share for node in (s0, s1, s2)] == [1.0] * 3
        assert "deleted" in await call("show", "--peer", s1.peer)
        assert "2 refused by s0" in await call("delete", SHARE, "--peer", s0.peer)
        assert "as 2.5\nin force" in await call("put", SHARE, "0.7", "--peer", s0.peer)
        status = await call("status", "--peer", s2.peer)
        assert status.startswith("0 ") and status.count(" yes") == 3


@with_folder
async def test_rows_are_not_confirmed_if_applying_them_raised(folder: Path) -> None:
    """Guards against `in force` for a row that a scheduler does not apply: it was recorded, and so confirmed,
    before the settings were applied."""
    async with nodes(folder, {}, {}) as (s0, s1):
        s1.apply_fails = True
        assert (await call("put", SHARE, "0.4", "--wait", "1", "--peer", s0.peer)).startswith("3 ")
        assert (s0.share, s1.share) == (0.4, 1.0)
        assert "written, but not applied here: planted" in await call(
            "put", DEADLINE, "4000", "--peer", s1.peer
        )
        with pytest.raises(RuntimeError, match="planted"):
            s1.cluster_node.settings.reapply_over(s1.raw(), s1.apply)  # type: ignore[union-attr]
        status = await call("status", "--peer", s0.peer)
        assert status.startswith("3 ")
        s1.apply_fails = False
        assert "in force at all 2" in await call("put", SHARE, "0.5", "--peer", s0.peer)
        assert (s0.share, s1.share) == (0.5, 0.5)
        assert (await call("status", "--peer", s0.peer)).startswith("0 ")


@with_folder
async def test_rejected_row_is_reported_with_member_and_reason(folder: Path) -> None:
    renamed = {"tenants": [{"name": "other", "share": 1.0, "allowancePerS": 5.0}]}
    async with nodes(folder, {}, {}) as (s0, s1):
        assert (await call("put", SHARE, "0.4", "--peer", s0.peer)).startswith("0 ")
        s1.read(config(folder, **renamed))
        assert s1.share == 1.0
        output = await call("put", SHARE, "0.5", "--peer", s0.peer)
        assert output.startswith("3 ") and "s1 refuses it: the settings in force have no tenant" in output
        status = json.loads((await call("status", "--json", "--peer", s0.peer))[2:])
        assert [row["refused"] for row in status["members"]] == [
            [],
            [[SHARE, "the settings in force have no tenant 'andes-retail'"]],
        ]
        s1.read(config(folder))
        assert s1.share == 0.5
        assert "2 refused by s0: a value is" in await call("put", SHARE, "none", "--peer", s0.peer)


@with_folder
async def test_row_is_not_in_force_while_a_live_member_has_not_confirmed(folder: Path) -> None:
    async with nodes(folder, {}, {}, {}) as (s0, s1, s2):
        s2.cluster_node.send = lambda to, message: None  # type: ignore[method-assign]
        output = await call("put", SHARE, "0.4", "--wait", "1.5", "--peer", s0.peer)
        assert output.startswith("3 ") and "2 apply it; s2 has not confirmed it" in output
        await wait_until(lambda: s2.share == 0.4)  # it applies the row, but does not confirm it
        del s2.cluster_node.send
        outcome = await call("put", SHARE, "0.5", "--peer", s0.peer)
        assert outcome.startswith("0 ") and "all 3" in outcome
        s2.cluster_node.close()  # without announcing its departure
        await wait_until(lambda: len(s0.cluster_node.membership.view.live_members()) == 2)
        assert "in force at all 2 in touch; out of touch: s2" in await call(
            "put", SHARE, "0.6", "--peer", s0.peer
        )
        assert "out of touch" in await call("status", "--peer", s1.peer)


@with_folder
async def test_settings_changes_require_a_secret_or_a_local_sender(folder: Path) -> None:
    for secret, source, allowed in (
        (b"", "10.0.0.7", False),
        (b"", "127.0.0.9", True),
        (b"", "::1", True),
        (b"key", "10.0.0.7", True),
    ):
        async with nodes(folder, {}, secret=secret) as [node]:
            answers: asyncio.Queue[ClusterMessage] = asyncio.Queue()
            node.cluster_node.reply_function = Mock(return_value=answers.put_nowait)  # type: ignore[method-assign]
            node.cluster_node._handle_message(Put(SHARE, b"0.4", (0, 0)), (source, 9))
            answer = await answers.get()
            assert isinstance(answer, PutResponse) and (answer.why == "") is allowed is (node.share == 0.4)
            assert allowed or "secret-file" in answer.why
    async with nodes(folder, {}) as [node]:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(Codec("red").encode(Put(SHARE, b"0.4", (0, 0))), node.cluster_node.address)
        await wait_until(lambda: node.cluster_node.counts["dropped_settings"] == 1)
        assert len(node.cluster_node.settings.table) == 0  # type: ignore[union-attr]


@with_folder
async def test_conflicting_early_and_oversized_changes_are_rejected(
    folder: Path,
) -> None:
    async with nodes(folder, {}) as [node]:
        rows, answers = node.cluster_node.settings, list[Any]()
        assert rows is not None
        node.cluster_node.reply_function = Mock(return_value=answers.append)  # type: ignore[method-assign]

        async def put(key: str, body: bytes, over: tuple[int, int]) -> str:
            answers.clear()
            rows.handle_message(Put(key, body, over), ("127.0.0.1", 9))
            await wait_until(lambda: bool(answers))
            return str(answers[0].why)

        assert await put(SHARE, b"0.4", (0, 0)) == ""
        assert "changed since it was read" in await put(
            SHARE, b"0.4", (0, 0)
        )  # a repeated or a second change
        assert await put(SHARE, b"0.5", (1, 1)) == ""
        assert "a key is" in await put("k" * 5000, b"0.4", (0, 0))
        assert "a value is" in await put(SHARE, b"1" * 5000, (1, 2))
        rows.table.caught_up = False
        assert "compared with a peer" in await put(SHARE, b"0.6", (1, 2))
        rows.accept_changes_without_peers()
        assert await put(SHARE, b"0.6", (1, 2)) == ""
        node.cluster_node.leave()
        assert "no longer in the fleet" in await put(SHARE, b"0.7", (1, 3))
        rows.handle_message(CommitStatusRequest(SHARE, 1, 2), ("127.0.0.1", 9))
        assert answers[-1].superseded == "1.3 of s0" and not answers[-1].in_force


@with_folder
async def test_burst_of_rows_is_one_batch_and_stored_before_it_is_applied(folder: Path) -> None:
    tenants = [{"name": f"t{index}", "share": 1.0} for index in range(20)]
    may_write, write = threading.Event(), row_store.write

    def slow(path: Path, stored: row_store.StoredRows) -> None:
        may_write.wait(10.0)
        write(path, stored)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(row_store, "write", slow)
        (folder / "rows-0").write_bytes(b"pipitshed rows 1 half of")  # moved aside; the start continues
        async with nodes(folder, {"tenants": tenants}, {"tenants": tenants}, rows_file="rows") as (s0, s1):
            rows = s0.cluster_node.settings
            assert rows is not None
            for index in range(20):
                row = rows.table.put(f"tenant/t{index}/share", b"0.5", "s0")
                s0.cluster_node.disseminate(row)
            await wait_until(lambda: len(s1.cluster_node.settings.table) == 20)  # type: ignore[union-attr]
            assert s0.share == s1.share == 1.0 and not (folder / "rows-0").exists()
            may_write.set()
            for node in (s0, s1):
                await wait_until(
                    lambda node=node: (
                        len(  # type: ignore[misc]
                            [tenant for tenant in node.config.settings.tenants if tenant.quota_share == 0.5]
                        )
                        == 20
                    )
                )
                assert len(node.applied_configs) <= 2  # the rows before the write, and those during it
            assert len(row_store.read(folder / "rows-0").rows) == 20
            assert (folder / "rows-0.damaged").exists()

            def full(path: Path, stored: row_store.StoredRows) -> None:
                raise OSError("no room")

            patch.setattr(row_store, "write", full)
            assert (await call("put", "tenant/t0/share", "0.7", "--peer", s0.peer)).startswith("0 ")
            assert "its rows are not kept: no room" in await call("status", "--peer", s1.peer)


@with_folder
async def test_report_of_another_instance_or_unknown_member_confirms_nothing(folder: Path) -> None:
    async with nodes(folder, {}, {}) as (s0, s1):
        rows = s0.cluster_node.settings
        assert rows is not None
        s1.cluster_node.send = lambda to, message: None  # type: ignore[method-assign]
        assert (await call("put", SHARE, "0.4", "--wait", "0", "--peer", s0.peer)).startswith("3 ")
        row = rows.table.get(SHARE)
        assert row is not None
        member_record = s1.cluster_node.membership.self_record
        for name, instance_id in (
            (member_record.name, member_record.instance_id + 1),
            ("nobody", member_record.instance_id),
        ):
            rows.handle_message(
                AppliedReport(name, instance_id, 9, rows.table.digest(), (row.content_hash,)),
                s1.cluster_node.address,
            )
            assert not rows.commands.commit_status(CommitStatusRequest(SHARE, 1, 1)).in_force
        rows.handle_message(
            AppliedReport(member_record.name, member_record.instance_id, 9, b"", (row.content_hash,)),
            s1.cluster_node.address,
        )
        await wait_until(lambda: rows.commands.commit_status(CommitStatusRequest(SHARE, 1, 1)).in_force)
        s0.cluster_node.membership.replicator.peer_digests.clear()  # as after a restart
        assert rows.commands.commit_status(CommitStatusRequest(SHARE, 1, 1)).missing == (("s0", ""),)
        await wait_until(lambda: rows.commands.commit_status(CommitStatusRequest(SHARE, 1, 1)).in_force)
        rows.table.caught_up = False
        assert not rows.commands.commit_status(CommitStatusRequest(SHARE, 1, 1)).in_force


def test_a_row_changes_the_class_of_a_gearman_function(tmp_path: Path) -> None:
    """Guards against a function that keeps the deadline of the start; rows of its class were rejected."""

    async def check() -> None:
        made_config, front = config(tmp_path), tmp_path / "front.toml"
        front.write_text(FRONT)
        scheduler = Scheduler(
            made_config, load_front(front, made_config), asyncio.get_running_loop(), node_config("s0")
        )
        rows, answers = scheduler.parts.cluster_node.settings, list[Any]()  # type: ignore[union-attr]
        gearman_frontend = scheduler.parts.gearman_frontend
        assert rows is not None and gearman_frontend is not None
        scheduler.parts.cluster_node.reply_function = Mock(return_value=answers.append)  # type: ignore[method-assign, union-attr]
        rows.table.caught_up = True
        rows.handle_message(Put(DEADLINE, b"300", (0, 0)), ("127.0.0.1", 9))
        await wait_until(lambda: bool(answers))
        parameters = gearman_frontend.parameters("plan_quote")
        assert answers[0].why == "" and parameters is not None and parameters.timeout_ms == 300.0
        scheduler.parts.cluster_node.close()  # type: ignore[union-attr]
        for listener in scheduler.parts.listeners:
            listener.close()

    asyncio.run(check())


# ---- Scheduler processes


PEER_PORT = 7946


def serve_arguments(folder: Path, name: str, host: str, *seeds: str) -> tuple[str, ...]:
    """Write the file of a scheduler of this name; return the arguments that start it."""
    path = folder / f"{name}.toml"
    path.write_text(
        f'name = "{name}"\nlisten = "{host}:{PEER_PORT}"\ncluster = "red"\n'
        f'rows-file = "{name}.rows"\nseeds = {[f"{seed}:{PEER_PORT}" for seed in seeds]}\n'
        "[scales]\nperiod = 0.1\nack-within = 0.05\nsync = 0.5\nsync-with-gone = 1.0\n"
    )
    return "serve", "--fleet", str(path)


def private_hosts(count: int) -> list[str]:
    """Loopback addresses that only this process uses: on 127.0.0.1, another process may take a free port
    before the scheduler binds it."""
    return [f"{loopback_block()}.{number}" for number in range(1, count + 1)]


async def times_out_early(running: Program, number: str) -> bool:
    """Whether a request that no planner answers fails well before the file's deadline of 5 s."""
    client, began = await HttpClient.to(running.port), monotonic()
    client.ask(number)
    return (await client.answer())[0] in (500, 503) and monotonic() - began < 3.0


@with_folder
async def test_failed_start_is_reported_with_the_output_of_the_program(folder: Path) -> None:
    """Guards against a failed start without its reason, for example that another process has the port."""
    [host] = private_hosts(1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind((host, PEER_PORT))
        with pytest.raises(AssertionError, match="did not start .2.: .*can't listen: Address already in use"):
            async with program(command=serve_arguments(folder, "s1", host)):
                pass


@with_folder
async def test_processes_apply_rows_over_a_reloaded_file_and_after_a_restart(
    folder: Path,
) -> None:
    running_jobs: list[Run] = []

    def hold_job(run: Run) -> None:
        run.send_event("started")
        running_jobs.append(run)

    hosts = private_hosts(2)
    arguments = [serve_arguments(folder, "s1", hosts[0]), serve_arguments(folder, "s2", hosts[1], hosts[0])]
    peer = ("--peer", f"{hosts[1]}:{PEER_PORT}")
    async with Planner("p1", act=hold_job) as planner, Catalog(planner) as catalog:
        async with (
            program(catalog=catalog, command=arguments[0]) as first,
            program(catalog=catalog, command=arguments[1], mgmt=True) as second,
        ):
            while not (output := await call("put", SHARE, "0.5", *peer)).startswith("0 "):
                assert "compared with a peer" in output, output
            in_progress = await HttpClient.to(second.port)
            in_progress.ask("q1")
            await planner.wait_for(1)
            assert "in force at all 2 in touch" in await call("put", DEADLINE, "300", *peer)
            assert await times_out_early(first, "q2") and await times_out_early(second, "q3")
            running_jobs[0].send_event("done", result="plan")
            assert (await in_progress.answer())[0] == 200  # it kept its deadline of five seconds
            second.reload(second.config.read_text())
            await second.logged(
                f"{DEADLINE}: 300 applied (writer s2, version 1.1); value in the file: 5000.0", 2
            )
            assert await times_out_early(second, "q4")
            assert (await read_metrics(second.mgmt_port))["scheduler.fleet.rows"] == 2
        # Before it has met another scheduler, it applies its stored rows and rejects changes.
        async with program(catalog=catalog, command=arguments[1]) as alone:
            assert await times_out_early(alone, "q5")
            assert "2 refused by s2: not compared with a peer" in await call("put", DEADLINE, "400", *peer)
