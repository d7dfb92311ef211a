"""Each component follows the values of a file read at SIGHUP that it was built with at the start."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

import pytest
from loopback import FRONT, SETTINGS
from test_old_clients import FRONT_TRANSLATION

from pipitshed.config.front import load_front
from pipitshed.config.platform import Config, load_platform_config
from pipitshed.discovery.catalog.client import CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S
from pipitshed.frontends.http.frontend import HARD_LIMIT_FACTOR
from pipitshed.placement import plan as plans
from pipitshed.placement.plan import Plan, PlannerEntry
from pipitshed.protocols.gearman import PacketType
from pipitshed.scheduling.events import JobSubmitted
from pipitshed.scheduling.retry_policy import ALLOWED_FAILURE_PROBABILITY
from pipitshed.server.assembly import Parts
from pipitshed.server.descriptors import GEARMAN_FRACTION, HTTP_CLIENTS_FRACTION
from pipitshed.server.server import Scheduler


class Rig:
    """A scheduler in this process, and the file that it reads at SIGHUP."""

    def __init__(self, folder: Path, front: str = "", **settings: Any) -> None:
        self._path = folder / "config.json"
        config = self._write(settings)
        front_path = folder / "front.toml"
        front_path.write_text(front)
        self._scheduler = Scheduler(config, load_front(front_path, config), asyncio.get_running_loop())

    @property
    def parts(self) -> Parts:
        return self._scheduler.parts

    def _write(self, settings: dict[str, Any], **platform: Any) -> Config:
        content = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"} | platform
        content["settings"] = SETTINGS | settings
        self._path.write_text(json.dumps(content))
        return load_platform_config({"LB_CONFIG": str(self._path)})

    def reload(self, **settings: Any) -> None:
        """Apply a file with these settings."""
        self._scheduler.reloader.apply(self._write(settings))

    def reload_platform(self, **platform: Any) -> None:
        """Apply a file with the settings of the start and these keys of the platform."""
        self._scheduler.reloader.apply(self._write({}, **platform))

    def sighup(self, **settings: Any) -> None:
        """Write a file with these settings, and do what SIGHUP does."""
        self._write(settings)
        with patch.dict(os.environ, {"LB_CONFIG": str(self._path)}):
            self._scheduler.reloader.reload()

    def close(self) -> None:
        self.parts.close()
        for listener in self.parts.listeners:
            listener.close()


@contextlib.contextmanager
def rig_in(folder: Path, front: str = "", **settings: Any) -> Iterator[Rig]:
    rig = Rig(folder, front, **settings)
    try:
        yield rig
    finally:
        rig.close()


def test_grpc_connections_follow_the_timeouts_of_the_file(tmp_path: Path) -> None:
    """Guards against gRPC connections that keep the connect and idle timeouts of the start."""

    async def check() -> None:
        with rig_in(tmp_path, FRONT_TRANSLATION) as rig:
            assert rig.parts.translation is not None
            client = rig.parts.translation.grpc_workers
            before = client.idle_timeout_s, client._connect_timeout_s
            permissions = SETTINGS["permissions"]
            rig.reload(permissions=permissions | {"idleClose": 3000.0, "connectTimeout": 25.0})
            after = client.idle_timeout_s, client._connect_timeout_s
            assert after == (before[0] / 10, before[1] / 10)

    asyncio.run(check())


def plan_for(zone: str, number: int) -> bytes:
    planners = {"p1": PlannerEntry(zone, "fast", 4.0)}
    return plans.write(Plan(1, number, time.time(), 600.0, 1000, planners, {f"{zone}/quote": {"p1": 1000}}))


def test_a_plan_is_followed_for_the_zone_and_the_slow_start_of_the_file(tmp_path: Path) -> None:
    """Guards against a plan source that keeps the zone and the slow start of the start: it turned down the
    plan of the new zone, and gave cold planners their whole part."""

    async def check() -> None:
        plan_path = tmp_path / "plan.json"
        plan_path.write_bytes(plan_for("lima-norte", 1))
        with rig_in(tmp_path, '[placement]\nplan = "plan.json"\n') as rig:
            assert rig.parts.placement_plan is not None
            follower = rig.parts.placement_plan.follower
            plan_path.write_bytes(plan_for("arequipa", 2))
            rig.sighup(locality=1, rules=SETTINGS["rules"] | {"cold": 8800.0})
            assert follower.plan is not None and follower.plan.number == 2
            assert follower.slow_start_ms == rig.parts.forwarder.settings.guarantees.slow_start_ms == 8800.0

    asyncio.run(check())


def test_the_limits_of_client_connections_follow_the_descriptors_of_the_file(tmp_path: Path) -> None:
    """Guards against frontends that keep the limits of the start: with fewer descriptors, clients could
    take those that attempts need."""

    async def check() -> None:
        with rig_in(tmp_path, FRONT) as rig:
            http, gearman = rig.parts.http_frontend, rig.parts.gearman_frontend
            assert gearman is not None
            for descriptor_count in (256, 1024):
                rig.reload_platform(limits={"sockets": descriptor_count})
                for frontend, fraction in (
                    (http, HTTP_CLIENTS_FRACTION * HARD_LIMIT_FACTOR),
                    (gearman, GEARMAN_FRACTION),
                ):
                    limit = int(descriptor_count * fraction)
                    assert frontend.may_accept(limit - 1) and not frontend.may_accept(limit + 1)

    asyncio.run(check())


def test_calls_to_discovery_have_the_timeouts_of_a_pushed_list_only_while_it_is_pushed(
    tmp_path: Path,
) -> None:
    """Guards against short timeouts that outlast the file that asked for them: a busy discovery, which queues
    the calls of a polled list, would never be heard out."""

    async def check() -> None:
        with rig_in(tmp_path) as rig:
            assert rig.parts.discovery is not None
            timeouts_s = []
            for kind in ("pushed", "on_request"):
                rig.sighup(discovery=kind)
                timeouts_s.append(
                    (rig.parts.discovery.connect_timeout_s, rig.parts.discovery.response_timeout_s)
                )
            assert timeouts_s[0] < timeouts_s[1] == (CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S)

    asyncio.run(check())


def test_gearman_workers_without_a_zone_of_their_own_are_in_that_of_the_file(tmp_path: Path) -> None:
    """Guards against workers that stay listed in the scheduler's zone of the start: their bookings would be
    repeated there."""

    async def check() -> None:
        front = FRONT.replace('zone = "lima-norte"', "")
        with rig_in(tmp_path, front) as rig:
            assert rig.parts.gearman_frontend is not None
            worker = rig.parts.gearman_frontend.worker_client.worker(Mock())
            worker.handle(PacketType.CAN_DO, [b"book_pallet"])
            [before] = rig.parts.forwarder.endpoints.entries()
            rig.reload(locality=1)
            [after] = rig.parts.forwarder.endpoints.entries()
            assert (before.zone, after.zone) == (0, 1)

    asyncio.run(check())


def test_the_least_priority_weight_is_that_of_the_classes_in_force(tmp_path: Path) -> None:
    """Guards against classes that a file has dropped, but whose priority weight still sets the probability
    with which all attempts of other classes' jobs may fail."""

    async def check() -> None:
        quote, book = SETTINGS["services"]
        with rig_in(tmp_path, services=[quote | {"gain": 0.5}, book | {"gain": 8.0}]) as rig:
            dispatcher = rig.parts.forwarder._dispatcher
            for number, services in enumerate(([quote | {"gain": 4.0}, book | {"gain": 8.0}], [book])):
                rig.reload(services=services)
                settings = rig.parts.forwarder.settings
                job_class = max(settings.classes_in_force(), key=lambda one: one.priority_weight)
                submitted = JobSubmitted(number, 5000.0, job_class=settings.classes.index(job_class))
                dispatcher.handle(1000.0, [submitted])
            assert [job.allowed_failure_probability for job in dispatcher.jobs.values()] == [
                pytest.approx(ALLOWED_FAILURE_PROBABILITY / 2),
                ALLOWED_FAILURE_PROBABILITY,
            ]

    asyncio.run(check())
