"""Follows a plan's file: read at the start and on SIGHUP, applied whole or turned down, and eased in."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Sequence
from pathlib import Path

from pipitshed.placement.follow import EVERY, Follower
from pipitshed.placement.plan import PlanError, read
from pipitshed.proxy.endpoint_table import EndpointTable

log = logging.getLogger("pipitshed")


class PlacementPlanSource:
    """The file, and the steps by which the route table's weights come to it."""

    def __init__(
        self,
        path: Path,
        zone: str,
        classes: Sequence[str],
        cold: float,
        table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._path = path
        self._table = table
        self._loop = loop
        self.follower = Follower(zone, classes, cold)
        self._timer: asyncio.TimerHandle | None = None
        self.read()
        self._step()

    def read(self) -> None:
        """Read the file again; one that is no use is logged, and the plan in force stands."""
        try:
            plan = read(self._path.read_bytes())
            self.follower.offer(plan, time.time(), self._table.entries())
        except OSError as error:
            log.error("plan %s: %s", self._path.name, error.strerror)
        except PlanError as error:
            log.error(
                "plan %s: it %s; %s",
                self._path.name,
                error,
                "the one in force stands" if self.follower.plan else "the list's weights count",
            )
        else:
            log.info("plan %s: number %d is followed", self._path.name, plan.number)

    def _step(self) -> None:
        self._timer = self._loop.call_later(EVERY, self._step)
        self.apply_weights()

    def apply_weights(self) -> None:
        """Give the route table the weights of now. Guards, after new classes, against a job of a number that
        no planner has a weight for.
        """
        held = self.follower.plan
        self._table.set_planned_weights(self.follower.weights(self._table.entries(), time.time()))
        if held is not None and self.follower.plan is None:
            log.warning("plan %s: its life is over; the list's weights count", self._path.name)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
