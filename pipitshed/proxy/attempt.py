"""The state of one attempt to run a request at one endpoint."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import Any

from pipitshed.proxy.request import RequestContext
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import NOT_EXECUTED_OUTCOMES, Outcome


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one endpoint; it has ended once it has an outcome."""

    context: RequestContext
    index: int
    endpoint: Endpoint
    started_at: float  # loop time
    deadline_at: float  # loop time
    body: bytes = b""  # in the message form of the endpoint's interface
    write_deadline_at: float = math.inf  # loop time after which the attempt must not be written
    fully_sent: bool = False  # the last byte is written, or a worker was assigned the job: it may have run
    outcome: Outcome | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    transport_state: Any = None  # private to the worker client

    @property
    def finished(self) -> bool:
        """Whether the attempt has ended."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the worker may have run the job, by what is known so far."""
        return self.outcome not in NOT_EXECUTED_OUTCOMES if self.outcome is not None else self.fully_sent
