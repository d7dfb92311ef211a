"""The core alone, between a loop and parties that are scripted."""

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


class HastyLoop:
    """A loop whose timers come 2 ms early, as uvloop's may."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.call_soon = self._loop.call_soon

    def call_at(self, when: float, *call: Any) -> asyncio.TimerHandle:
        return self._loop.call_at(when - 0.002, *call)


def test_a_timer_that_fires_early_does_not_lose_the_watch() -> None:
    """The failure met: the decisions take an early timer for an old one, and never ask again."""

    async def run() -> None:
        asked = asyncio.Event()
        forwarder = Forwarder(settings(endpoints_polled=True), 1, HastyLoop())  # type: ignore[arg-type]
        forwarder.attach_discovery(lambda watch: asked.set())
        lines = [(entry, Endpoint(entry.worker, None, None)) for entry in entries(3)]  # type: ignore[arg-type]
        forwarder.endpoints.update("test", UpdateKind.CACHED, 1, lines)
        await asyncio.wait_for(asked.wait(), 5)

    asyncio.run(run())


def test_the_decisions_hear_of_a_kept_connection_that_closes() -> None:
    """The failure met: planners that closed right after an answer were drawn for connections long closed, and
    each such draw opened one."""

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
            carrier = HttpWorkerClient(forwarder, [], loop)
            target = Endpoint(b"p1", carrier, ("127.0.0.1", planner.port))
            exchange = RequestContext(1, Request("a1", 0, 5000.0, 0), Mock(), loop.time() + 5)
            carrier.start(Attempt(exchange, 0, target, loop.time(), loop.time() + 5))
            await asyncio.wait_for(lost.wait(), 5)
            assert [type(event) for event in events] == [AttemptProgressed, AttemptFinished, ConnectionLost]

    asyncio.run(run())


def test_a_failed_accept_does_not_lose_the_listener(monkeypatch: pytest.MonkeyPatch) -> None:
    """Out of descriptors for once: the client in the queue is served when there are some again."""

    async def run() -> None:
        failures = [OSError(errno.EMFILE, "too many open files")]
        accept = socket.socket.accept

        def failing(self: socket.socket) -> Any:
            if failures:
                raise failures.pop()
            return accept(self)

        served = asyncio.Event()

        class Served(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                served.set()
                transport.close()

        monkeypatch.setattr(socket.socket, "accept", failing)
        listener = Listener(("127.0.0.1", 0), Served, asyncio.get_running_loop())
        _, writer = await asyncio.open_connection(*listener.address)
        await asyncio.wait_for(served.wait(), 5)
        assert not failures
        writer.close()
        listener.close()

    asyncio.run(run())


def test_an_exception_in_one_action_or_event_leaves_the_others_of_its_turn() -> None:
    """A client that raises, and an event that the decisions can't take: the other job of that turn is refused
    all the same."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        forwarder = Forwarder(settings(), 1, loop)
        broken, usual = Mock(), Mock()
        broken.rejected.side_effect = RuntimeError("planted")
        done = asyncio.Event()
        usual.rejected.side_effect = lambda retry_after: done.set()
        first, second = [
            forwarder.submit(Request(name, 0, 5000.0, 0), client)
            for name, client in (("a1", broken), ("a2", usual))
        ]
        forwarder._dispatcher.handle = Mock(side_effect=RuntimeError("planted"))  # type: ignore[method-assign]
        forwarder._dispatcher.actions = [RejectRequest(first.job_id, 1.0), RejectRequest(second.job_id, 1.0)]
        await asyncio.wait_for(done.wait(), 5)
        assert broken.rejected.called

    asyncio.run(run())


class SilentClient:
    """A worker client whose workers take each attempt and never answer it."""

    def __init__(self) -> None:
        self.taken: asyncio.Queue[Attempt] = asyncio.Queue()

    def start(self, attempt: Attempt) -> None:
        self.taken.put_nowait(attempt)

    def abort(self, attempt: Attempt) -> bool:
        return attempt.fully_sent


async def held_up_at_the_deadline(
    effect: Idempotency, held_up_s: float, translator: Any = None
) -> tuple[Mock, asyncio.Queue[str]]:
    """A request in progress at a silent worker, whose deadline passes while the loop stands still."""
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
        await asyncio.sleep(0)  # the dispatcher has been told
    time.sleep(context.deadline_at - time.monotonic() + held_up_s)  # noqa: ASYNC251
    return client, answers


@pytest.mark.parametrize("held_up_s", [0.005, 0.015, 0.04, 0.15])
@pytest.mark.parametrize(
    ("effect", "answer"),
    [(Idempotency.IDEMPOTENT, "rejected"), (Idempotency.NON_IDEMPOTENT, "failed")],
)
def test_a_loop_held_up_over_a_deadline_answers_as_the_dispatcher_would(
    effect: Idempotency, answer: str, held_up_s: float
) -> None:
    """Guards against a 500 for a job that its client may repeat: both deadlines were due in one turn, and the
    guard's came before the dispatcher's answer."""

    async def run() -> None:
        client, answers = await held_up_at_the_deadline(effect, held_up_s)
        assert await asyncio.wait_for(answers.get(), 5) == answer
        await asyncio.sleep(0.05)  # an answer too many would come within the guard's time
        assert client.rejected.call_count + client.failed.call_count == 1

    asyncio.run(run())


def test_a_request_that_never_reached_the_dispatcher_is_rejected_at_its_deadline() -> None:
    """Guards against a 500 for a job that never ran: an exception ended its translation."""

    translator = Mock(prepare=Mock(side_effect=RuntimeError("planted")))

    async def run() -> None:
        client, answers = await held_up_at_the_deadline(Idempotency.NON_IDEMPOTENT, 0.04, translator)
        assert await asyncio.wait_for(answers.get(), 5) == "rejected"
        assert client.failed.call_count == 0

    asyncio.run(run())
