"""Changes of settings during a scenario run: sent to a process, and polled until they are in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from time import monotonic
from typing import TypeVar

from pipitshed.cli.client import RequestError, send_request
from pipitshed.cluster.codec import Codec
from pipitshed.cluster.messages import (
    ClusterMessage,
    CommitStatusRequest,
    CommitStatusResponse,
    PutResponse,
    RowsRequest,
    RowsResponse,
)
from pipitshed.cluster.messages import Put as PutRow
from pipitshed.replication.row_table import NOT_COMPARED
from pipitshed.testbed.fleet.processes import Process, Processes
from pipitshed.testbed.fleet.scenario import SettingChange

POLL_INTERVAL_S = 0.1  # s between queries whether a change is in force
FOLLOW_TIMEOUT_S = 20.0  # s after which a change is no longer polled
_Reply = TypeVar("_Reply", bound=ClusterMessage)


class SettingChanges:
    """Sends the setting changes of one scenario run."""

    def __init__(self, processes: Processes, log: Callable[..., None]) -> None:
        self._processes = processes
        self._log = log
        self._codec = Codec("rig")

    async def run(self, puts: Iterable[SettingChange]) -> None:
        """Put each change at its time; return when each is in force, superseded, refused or timed out."""
        began = monotonic()
        tasks = []
        for put in puts:
            await asyncio.sleep(max(0.0, began + put.at - monotonic()))
            tasks.append(asyncio.create_task(self.put_and_follow(put)))
        await asyncio.gather(*tasks)

    async def put_and_follow(self, put: SettingChange) -> str:
        """Put one change; return its outcome, which is also logged."""
        preferred = [
            candidate
            for candidate in self._processes.all
            if candidate.name == put.a and candidate.accepts_clients
        ]
        candidates = preferred or [
            candidate for candidate in self._processes.all if candidate.accepts_clients
        ]
        began, how, version = monotonic(), "unanswered", (0, 0)
        try:
            if candidates:
                how, version = await self._follow(candidates[-1], put)
        except RequestError:
            pass  # the process was killed or is paused: whether it accepted the change is unknown
        finally:
            self._log(
                "put",
                key=put.key,
                value=put.value,
                at=put.at,
                process=candidates[-1].name if candidates else "",
                how=how,
                term=version[0],
                number=version[1],
                took=round(monotonic() - began, 3),
            )
        return how

    async def _follow(self, process: Process, put: SettingChange) -> tuple[str, tuple[int, int]]:
        """Put a change, and query until it is in force; return the outcome and the row's version.

        A process that has just started refuses with NOT_COMPARED; the change is then put again, as the
        operators' page says.
        """
        until = monotonic() + FOLLOW_TIMEOUT_S
        done = await self._put(process, put)
        while done.why == NOT_COMPARED and monotonic() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
            done = await self._put(process, put)
        if done.why:
            self._log("refused", key=put.key, process=process.name, why=done.why)
            return "refused", (0, 0)
        version = done.term, done.number
        until = monotonic() + FOLLOW_TIMEOUT_S
        while monotonic() < until:
            force = await self._request(process, CommitStatusRequest(put.key, *version), CommitStatusResponse)
            if force.in_force or force.superseded:
                return "in force" if force.in_force else "superseded", version
            await asyncio.sleep(POLL_INTERVAL_S)
        return "not in force", version

    async def _put(self, process: Process, put: SettingChange) -> PutResponse:
        """Put a change once; a row of another writer is taken over."""
        current = (await self._request(process, RowsRequest(put.key), RowsResponse)).rows
        expected_version = (current[0].term, current[0].number) if current else (0, 0)
        take_over = bool(current) and current[0].writer != process.name
        return await self._request(
            process, PutRow(put.key, put.value.encode(), expected_version, take_over), PutResponse
        )

    async def _request(self, process: Process, message: ClusterMessage, wanted: type[_Reply]) -> _Reply:
        return await asyncio.to_thread(send_request, process.real, self._codec, message, wanted)
