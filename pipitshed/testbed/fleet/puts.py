"""Changes of settings during a play: put at a process, and followed until they are in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from time import monotonic
from typing import TypeVar

from pipitshed.cli.client import RequestError
from pipitshed.cli.client import send_request as ask
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

POLL_INTERVAL = 0.1  # s between questions whether one is in force
FOLLOW_TIMEOUT = 20.0  # s for which one is followed
_Reply = TypeVar("_Reply", bound=ClusterMessage)


class SettingChanges:
    """The changes of one play."""

    def __init__(self, processes: Processes, log: Callable[..., None]) -> None:
        self._processes = processes
        self._log = log
        self._codec = Codec("rig")

    async def play(self, puts: Iterable[SettingChange]) -> None:
        """Put each at its time, and return when all are in force, or refused, or their time is over."""
        began = monotonic()
        tasks = []
        for put in puts:
            await asyncio.sleep(max(0.0, began + put.at - monotonic()))
            tasks.append(asyncio.create_task(self.one(put)))
        await asyncio.gather(*tasks)

    async def one(self, put: SettingChange) -> str:
        """Put one, and say how it ended."""
        named = [one for one in self._processes.all if one.name == put.a and one.accepts_clients]
        up = named or [one for one in self._processes.all if one.accepts_clients]
        began, how, version = monotonic(), "unanswered", (0, 0)
        try:
            if up:
                how, version = await self._follow(up[-1], put)
        except RequestError:
            pass  # it was killed, or stands still: whether the change was taken is not known
        finally:
            self._log(
                "put",
                key=put.key,
                value=put.value,
                at=put.at,
                process=up[-1].name if up else "",
                how=how,
                term=version[0],
                number=version[1],
                took=round(monotonic() - began, 3),
            )
        return how

    async def _follow(self, process: Process, put: SettingChange) -> tuple[str, tuple[int, int]]:
        """Put a change, and ask whether it is in force until it is.

        One that the process refuses as it has just started is put again, as the operators' page says.
        """
        until = monotonic() + FOLLOW_TIMEOUT
        done = await self._put(process, put)
        while done.why == NOT_COMPARED and monotonic() < until:
            await asyncio.sleep(POLL_INTERVAL)
            done = await self._put(process, put)
        if done.why:
            self._log("refused", key=put.key, process=process.name, why=done.why)
            return "refused", (0, 0)
        version = done.term, done.number
        until = monotonic() + FOLLOW_TIMEOUT
        while monotonic() < until:
            force = await self._ask(process, CommitStatusRequest(put.key, *version), CommitStatusResponse)
            if force.in_force or force.superseded:
                return "in force" if force.in_force else "superseded", version
            await asyncio.sleep(POLL_INTERVAL)
        return "not in force", version

    async def _put(self, process: Process, put: SettingChange) -> PutResponse:
        """Put a change once; where another process writes the row, it is taken over."""
        held = (await self._ask(process, RowsRequest(put.key), RowsResponse)).rows
        over = (held[0].term, held[0].number) if held else (0, 0)
        other = bool(held) and held[0].writer != process.name
        return await self._ask(process, PutRow(put.key, put.value.encode(), over, other), PutResponse)

    async def _ask(self, process: Process, message: ClusterMessage, wanted: type[_Reply]) -> _Reply:
        return await asyncio.to_thread(ask, process.real, self._codec, message, wanted)
