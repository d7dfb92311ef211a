"""The forwarder alone, with scripted clients and workers."""

import asyncio
import errno
import socket
import time
from typing import Any
from unittest.mock import Mock

import pytest
from helpers import entries, settings
from loopback import Planner, Run

from pipitshed.frontends.listener import Listener
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request, RequestContext
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.actions import RejectRequest
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    ConnectionLost,
    Event,
    ProgressKind,
    UpdateKind,
)
from pipitshed.scheduling.settings import Idempotency
from pipitshed.upstream.http import HttpWorkerClient


class EarlyTimerLoop:
    """An event loop whose timers fire 2 ms early, as those of uvloop may."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.call_soon = self._loop.call_soon

    def call_at(self, when: float, *call: Any) -> asyncio.TimerHandle:
        return self._loop.call_at(when - 0.002, *call)


def test_a_timer_that_fires_early_does_not_stop_polling() -> None:
    """Guards against a poll that never happens: the dispatcher ignores an early timer as outdated."""

    async def run() -> None:
        fetched = asyncio.Event()
        forwarder = Forwarder(settings(endpoints_polled=True), 1, EarlyTimerLoop())  # type: ignore[arg-type]
        forwarder.attach_discovery(lambda watch: fetched.set())
        rows = [(entry, Endpoint(entry.worker, None, None)) for entry in entries(3)]  # type: ignore[arg-type]
        forwarder.endpoints.update("test", UpdateKind.CACHED, 1, rows)
        await asyncio.wait_for(fetched.wait(), 5)

    asyncio.run(run())


def test_the_dispatcher_is_notified_of_an_idle_connection_that_closes() -> None:
    """Guards against workers that are selected for connections that have closed: workers that closed the
    connection after each response were preferred, and each attempt opened a new one."""

    async def run() -> None:
        lost = asyncio.Event()

        def close(run: Run) -> None:
            run.serve()
            run.writer.close()

        async with Planner("p1", act=close) as planner:
            loop = asyncio.get_running_loop()
            forwarder = Forwarder(settings(), 1, loop)
            events: list[Event] = []

            def post(event: Event) -> None:
                events.append(event)
                if isinstance(event, ConnectionLost):
                    lost.set()

            forwarder._dispatch_loop.post = post  # type: ignore[method-assign]
            worker_client = HttpWorkerClient(forwarder, [], loop)
            target = Endpoint(b"p1", worker_client, ("127.0.0.1", planner.port))
            context = RequestContext(1, Request("a1", 0, 5000.0, 0), Mock(), loop.time() + 5)
            worker_client.start(Attempt(context, 0, target, loop.time(), loop.time() + 5))
            await asyncio.wait_for(lost.wait(), 5)
            assert [type(event) for event in events] == [AttemptProgressed, AttemptFinished, ConnectionLost]

    asyncio.run(run())


def test_the_listener_continues_after_a_failed_accept(monkeypatch: pytest.MonkeyPatch) -> None:
    """No descriptor is left once: the queued client is served as soon as there is one again."""

    async def run() -> None:
        failures = [OSError(errno.EMFILE, "too many open files")]
        accept = socket.socket.accept

        def fail_once(self: socket.socket) -> Any:
            if failures:
                raise failures.pop()
            return accept(self)

        served = asyncio.Event()

        class Served(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                served.set()
                transport.close()

        monkeypatch.setattr(socket.socket, "accept", fail_once)
        listener = Listener(("127.0.0.1", 0), Served, asyncio.get_running_loop())
        _, writer = await asyncio.open_connection(*listener.address)
        await asyncio.wait_for(served.wait(), 5)
        assert not failures
        writer.close()
        listener.close()

    asyncio.run(run())


def test_an_exception_in_one_action_or_event_does_not_stop_the_others() -> None:
    """A requester raises, and so does the dispatcher on an event: the other job of the iteration is still
    rejected."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        forwarder = Forwarder(settings(), 1, loop)
        failing, normal = Mock(), Mock()
        failing.rejected.side_effect = RuntimeError("planted")
        done = asyncio.Event()
        normal.rejected.side_effect = lambda retry_after: done.set()
        first, second = [
            forwarder.submit(Request(name, 0, 5000.0, 0), client)
            for name, client in (("a1", failing), ("a2", normal))
        ]
        forwarder._dispatcher.handle = Mock(side_effect=RuntimeError("planted"))  # type: ignore[method-assign]
        forwarder._dispatcher.actions = [RejectRequest(first.job_id, 1.0), RejectRequest(second.job_id, 1.0)]
        await asyncio.wait_for(done.wait(), 5)
        assert failing.rejected.called

    asyncio.run(run())


class SilentClient:
    """A worker client whose workers accept each attempt and never respond."""

    def __init__(self) -> None:
        self.taken: asyncio.Queue[Attempt] = asyncio.Queue()

    def start(self, attempt: Attempt) -> None:
        self.taken.put_nowait(attempt)

    def abort(self, attempt: Attempt) -> bool:
        return attempt.fully_sent


async def blocked_at_the_deadline(
    effect: Idempotency, blocked_s: float, translator: Any = None
) -> tuple[Mock, asyncio.Queue[str]]:
    """A request at a silent worker whose deadline passes while the event loop is blocked."""
    loop = asyncio.get_running_loop()
    forwarder = Forwarder(settings(effect), 1, loop)
    worker_client, client, answers = SilentClient(), Mock(), asyncio.Queue[str]()
    client.rejected.side_effect = lambda retry_after_ms: answers.put_nowait("rejected")
    client.failed.side_effect = lambda: answers.put_nowait("failed")
    [entry] = entries(1)
    forwarder.endpoints.update(
        "test",
        UpdateKind.DELTA,
        1,
        [(entry, Endpoint(entry.worker, worker_client, None))],  # type: ignore[arg-type]
    )
    if translator is not None:
        forwarder.attach_translator(translator)
    context = forwarder.submit(Request("a1", 0, 130.0, 0, form_version=1), client)
    if translator is None:
        attempt = await worker_client.taken.get()
        forwarder.attempt_sent(attempt)
        forwarder.attempt_progressed(attempt, ProgressKind.STARTED)
        await asyncio.sleep(0)  # the dispatcher handles the events
    time.sleep(context.deadline_at - time.monotonic() + blocked_s)  # noqa: ASYNC251
    return client, answers


@pytest.mark.parametrize("blocked_s", [0.005, 0.015, 0.04, 0.15])
@pytest.mark.parametrize(
    ("effect", "answer"),
    [(Idempotency.IDEMPOTENT, "rejected"), (Idempotency.NON_IDEMPOTENT, "failed")],
)
def test_a_loop_blocked_past_a_deadline_answers_as_the_dispatcher_would(
    effect: Idempotency, answer: str, blocked_s: float
) -> None:
    """Guards against a 500 for a job that its client may retry: both deadlines were due in one iteration, and
    the guard answered before the dispatcher."""

    async def run() -> None:
        client, answers = await blocked_at_the_deadline(effect, blocked_s)
        assert await asyncio.wait_for(answers.get(), 5) == answer
        await asyncio.sleep(0.05)  # a second answer would arrive within DEADLINE_GUARD_MS
        assert client.rejected.call_count + client.failed.call_count == 1

    asyncio.run(run())


def test_a_request_that_never_reached_the_dispatcher_is_rejected_at_its_deadline() -> None:
    """Guards against a 500 for a job that never ran, after an exception in its translation."""

    translator = Mock(prepare=Mock(side_effect=RuntimeError("planted")))

    async def run() -> None:
        client, answers = await blocked_at_the_deadline(Idempotency.NON_IDEMPOTENT, 0.04, translator)
        assert await asyncio.wait_for(answers.get(), 5) == "rejected"
        assert client.failed.call_count == 0

    asyncio.run(run())
