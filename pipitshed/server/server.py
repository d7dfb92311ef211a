"""Runs the scheduler from the start to the last answer."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections import Counter
from typing import TYPE_CHECKING

import uvloop

from pipitshed.admin.metrics import Gauges, by_class, count_lines, render
from pipitshed.config.class_registry import ClassRegistry
from pipitshed.config.front import FrontConfig
from pipitshed.config.platform import Config
from pipitshed.frontends.http import LINGER_ENDING
from pipitshed.server.assembly import assemble, build_cluster_node
from pipitshed.server.reload import SettingsReloader

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*SHUTDOWN_SIGNALS, signal.SIGHUP)

# Times from SIGTERM on.
LISTEN_AFTER_SIGTERM_S = 0.5  # for which it listens on: new connections keep coming for up to 0.4 s
KEEP_CONNECTIONS_S = 2.0  # for which open connections are served on: a peer may be starting again by then
SIGKILL_MARGIN_S = 0.7  # beside the longest deadline, after which SIGKILL comes
LONGEST_DEADLINE_MAX_S = 3.0  # that the longest deadline counts at most for that
ANSWER_BEFORE_SIGKILL_S = (
    0.3  # by which all that came after LISTEN_AFTER_SIGTERM_S is answered before SIGKILL
)
KEEP_CONNECTIONS_FRACTION = 0.6  # of the time until then, for which connections are served on at most
ANNOUNCE_CLOSE_S = 0.5  # for which a connection in use is kept, so that its next response announces its close
ANNOUNCE_CLOSE_FRACTION = 0.2  # of the time until all is answered, for which it is kept at most
SHUTDOWN_MARGIN_S = 1.0  # beyond the longest deadline, after which no answer can be outstanding
IDLE_CHECK_INTERVAL_S = 0.02  # between checks whether all is answered

READY_WITHOUT_LIST_S = 4.0  # after the start, from which the process is ready without discovery's list
GC_THRESHOLDS = (50_000, 20, 100)

log = logging.getLogger("pipitshed")


class Scheduler:
    """One running scheduler: its start, its readiness and its end."""

    def __init__(
        self,
        config: Config,
        front: FrontConfig,
        loop: asyncio.AbstractEventLoop,
        cluster_config: ClusterConfig | None = None,
    ) -> None:
        self._loop = loop
        self._ended = asyncio.Event()
        self._draining = False
        self._shutdown_deadline_at = 0.0  # loop time
        self._started_at = loop.time()
        classes = ClassRegistry.first(config.classes, config.settings.classes)
        self.parts = assemble(config, front, list(classes.names), self, loop)
        self.reloader = SettingsReloader(config, classes, self.parts, loop)
        if cluster_config is not None:
            self.parts.cluster_node = build_cluster_node(
                cluster_config,
                config,
                front,
                self.reloader.raw_config,
                self.reloader.apply_row_settings,
                loop,
            )

    def ready(self) -> bool:
        """Whether this process is ready to serve: not ending, and with a list from discovery.

        The list that it had cached when it was killed is not enough: workers that were removed since would
        be sent jobs. Where discovery can't be reached, or some time after the start, it is ready without.
        """
        discovery = self.parts.discovery
        has_list = (
            discovery is None
            or discovery.received_any
            or discovery.unreachable
            or (self._loop.time() - self._started_at > READY_WITHOUT_LIST_S)
        )
        return has_list and not self._draining

    def metrics(self) -> bytes:
        """The text of `/-/metrics`."""
        forwarder, node = self.parts.forwarder, self.parts.cluster_node
        gauges = Gauges(
            forwarder.active_count,
            forwarder.endpoints.size(),
            forwarder.ejected_count(),
            self.reloader.loaded_count,
            self.reloader.invalid_count,
        )
        class_names = self.reloader.classes.names
        text = render(by_class(class_names, forwarder.answered_counts, forwarder.sent_counts), gauges)
        if node is None:
            return text
        return text + node.lines() + count_lines(self._discovery_counters())

    def _discovery_counters(self) -> Counter[str]:
        discovery = self.parts.discovery
        return discovery.counters if discovery is not None else Counter()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, and then until all requests are answered."""
        for number in SHUTDOWN_SIGNALS:
            self._loop.add_signal_handler(number, self.drain)
        self._loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, HANDLED_SIGNALS
        )  # what was sent since the start arrives now
        for listener in self.parts.listeners:
            log.info("listening on %s:%d%s", *listener.address, " (passed)" if listener.passed else "")
        if self.parts.admin_listener is not None:
            log.info("operators' address on %s:%d", *self.parts.admin_listener.address)
        if self.parts.cluster_node is not None:
            await self.parts.cluster_node.start()
        await self._ended.wait()
        # The handlers go with the loop: a signal after that would change the exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        counters = self.parts.forwarder.counters + self._discovery_counters()
        log.info("ended: %s", " ".join(f"{name}={count}" for name, count in sorted(counters.items())))

    def drain(self) -> None:
        """Begin to end: listen on while clients may still be sent here, answer all requests, then end."""
        if self._draining:
            return
        self._draining = True
        log.info("ending: no longer ready; all that was taken is answered first")
        self._shutdown_deadline_at = (
            self._loop.time() + LISTEN_AFTER_SIGTERM_S + self._longest_deadline_s() + SHUTDOWN_MARGIN_S
        )
        self._loop.call_later(LISTEN_AFTER_SIGTERM_S, self._stop_listening)
        # Clients sent away at once would find the peer that was restarted just before still down.
        keep_s = min(KEEP_CONNECTIONS_S, KEEP_CONNECTIONS_FRACTION * self._answer_within_s())
        self._loop.call_later(keep_s, self._close_connections)
        if self.parts.cluster_node is not None:
            self.parts.cluster_node.leave()  # last: an error in it must not keep the program from its end

    def _longest_deadline_s(self) -> float:
        return max(cls.deadline_ms for cls in self.parts.forwarder.settings.classes) / 1000

    def _answer_within_s(self) -> float:
        """The time after SIGTERM by which all that came late is answered.

        It goes by the deadlines of this deployment: where they are short, SIGKILL comes sooner.
        """
        longest_s = self._longest_deadline_s()
        return min(longest_s, LONGEST_DEADLINE_MAX_S) + SIGKILL_MARGIN_S - ANSWER_BEFORE_SIGKILL_S

    def _stop_listening(self) -> None:
        for listener in self.parts.listeners:
            listener.close()
        if self.parts.gearman_frontend is not None:
            self.parts.gearman_frontend.closing = True
        answer_deadline_at = self._loop.time() + self._answer_within_s() - LISTEN_AFTER_SIGTERM_S
        self.parts.forwarder.set_answer_deadline(answer_deadline_at)

    def _close_connections(self) -> None:
        """Close each connection with its next answer, and those that are not in use at once."""
        self.parts.http_frontend.draining = True
        self.parts.http_frontend.linger = LINGER_ENDING
        # A little later, what stood in the listeners' queues has its connection.
        self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._end_when_idle)

    def _end_when_idle(self) -> None:
        announce_s = min(ANNOUNCE_CLOSE_S, ANNOUNCE_CLOSE_FRACTION * self._answer_within_s())
        self.parts.http_frontend.close_idle(announce_s)
        # A client that never ends the request it has begun must not keep the program from its end.
        if self._busy() and self._loop.time() < self._shutdown_deadline_at:
            self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._end_when_idle)
            return
        self.parts.close()
        self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._ended.set)

    def _busy(self) -> bool:
        """Whether any client is connected, or waits for an answer."""
        http, gearman = self.parts.http_frontend, self.parts.gearman_frontend
        return bool(
            http.connections
            or http.closing
            or self.parts.forwarder.active_count
            or (gearman is not None and gearman.busy)
        )


def serve(config: Config, front: FrontConfig, cluster_config: ClusterConfig | None = None) -> None:
    """Run one scheduler to its end, alone or among the peers that a file names."""

    async def run() -> None:
        scheduler = Scheduler(config, front, asyncio.get_running_loop(), cluster_config)
        # What is there now stays; a full collection in the middle of traffic would make timers late.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await scheduler.run()

    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    uvloop.run(run())
