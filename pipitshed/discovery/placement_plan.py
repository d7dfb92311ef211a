"""Follows a placement plan's file: read at the start and on SIGHUP, then applied in steps."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Sequence
from pathlib import Path

from pipitshed.placement.follow import STEP_INTERVAL_S, Follower
from pipitshed.placement.plan import PlanError, read
from pipitshed.proxy.endpoint_table import EndpointTable

log = logging.getLogger("pipitshed")


class PlacementPlanSource:
    """Reads a plan's file, and moves the endpoint table's weights to the plan step by step."""

    def __init__(
        self,
        path: Path,
        zone: str,
        classes: Sequence[str],
        slow_start_ms: float,
        table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._path = path
        self._table = table
        self._loop = loop
        self.follower = Follower(zone, classes, slow_start_ms)
        self._timer: asyncio.TimerHandle | None = None
        self.read()
        self._step()

    def read(self) -> None:
        """Read the file again; a plan that can't be used is logged, and the current one stays."""
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
                "the current plan stays" if self.follower.plan else "the endpoint list's weights apply",
            )
        else:
            log.info("plan %s: following plan number %d", self._path.name, plan.number)

    def apply_settings(self, zone: str, slow_start_ms: float) -> None:
        """Replace the scheduler's zone and the time during which a planner counts as cold."""
        self.follower.zone, self.follower.slow_start_ms = zone, slow_start_ms

    def _step(self) -> None:
        self._timer = self._loop.call_later(STEP_INTERVAL_S, self._step)
        self.apply_weights()

    def apply_weights(self) -> None:
        """Set the endpoint table's weights to those of the current step.

        Also called when the job classes change: otherwise no worker would have a weight for a new class.
        """
        plan_before = self.follower.plan
        self._table.set_planned_weights(self.follower.weights(self._table.entries(), time.time()))
        if plan_before is not None and self.follower.plan is None:
            log.warning("plan %s: the plan has expired; the endpoint list's weights apply", self._path.name)

    def close(self) -> None:
        """Stop stepping; the weights stay as they are."""
        if self._timer is not None:
            self._timer.cancel()
