"""Runs the scheduler process from its start to the end of its shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

import uvloop

from pipitshed.admin.metrics import Gauges, count_lines, counts_by_class, render
from pipitshed.config.class_registry import ClassRegistry
from pipitshed.config.front import FrontConfig
from pipitshed.config.platform import Config
from pipitshed.frontends.http import STOPPING_LINGER_S
from pipitshed.scheduling.settings import JobClass
from pipitshed.server.assembly import assemble, build_cluster_node
from pipitshed.server.reload import SettingsReloader

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*SHUTDOWN_SIGNALS, signal.SIGHUP)
MS_PER_S = 1000

# Times of the shutdown, from SIGTERM on.
LISTEN_AFTER_SIGTERM_S = 0.5  # new connections keep arriving for up to 0.4 s
KEEP_CONNECTIONS_S = 2.0  # open connections are kept this long, so that a restarted peer is listening by then
SIGKILL_MARGIN_S = 0.7  # SIGKILL comes this long after the longest deadline
LONGEST_DEADLINE_MAX_S = 3.0  # a longer deadline counts as this in the time until SIGKILL
ANSWER_BEFORE_SIGKILL_S = 0.3  # all accepted requests are answered this long before SIGKILL
KEEP_CONNECTIONS_FRACTION = 0.6  # of the time to answer all requests; bounds KEEP_CONNECTIONS_S
ANNOUNCE_CLOSE_S = 0.5  # an idle connection is kept this long, so that its next response announces the close
ANNOUNCE_CLOSE_FRACTION = 0.2  # of the time to answer all requests; bounds ANNOUNCE_CLOSE_S
SHUTDOWN_MARGIN_S = 1.0  # after the longest deadline; no answer can be outstanding then
IDLE_CHECK_INTERVAL_S = 0.02  # between checks whether all requests are answered

READY_WITHOUT_LIST_S = 4.0  # after the start; the process is then ready without a list from discovery
GC_THRESHOLDS = (50_000, 20, 100)

log = logging.getLogger("pipitshed")


class Scheduler:
    """One running scheduler: its start, readiness and shutdown."""

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
                self.reloader.raw_config,
                self.reloader.apply_row_settings,
                loop,
            )

    def ready(self) -> bool:
        """Whether this process is ready to serve: not shutting down, and with a list from discovery.

        The cached list of an earlier process does not suffice, as jobs would go to workers removed since.
        Where discovery cannot be reached, or READY_WITHOUT_LIST_S after the start, no list is needed.
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
        text = render(counts_by_class(class_names, forwarder.answered_counts, forwarder.sent_counts), gauges)
        if node is None:
            return text
        return text + node.metrics_lines() + count_lines(self._discovery_counters())

    def _discovery_counters(self) -> Counter[str]:
        discovery = self.parts.discovery
        return discovery.counters if discovery is not None else Counter()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all accepted requests are answered."""
        for number in SHUTDOWN_SIGNALS:
            self._loop.add_signal_handler(number, self.drain)
        self._loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)  # delivers signals sent since the start
        for listener in self.parts.listeners:
            log.info("listening on %s:%d%s", *listener.address, " (passed)" if listener.passed else "")
        if self.parts.admin_listener is not None:
            log.info("operators' address on %s:%d", *self.parts.admin_listener.address)
        if self.parts.cluster_node is not None:
            await self.parts.cluster_node.start()
        await self._ended.wait()
        # The handlers are removed with the loop; a signal after that would change the exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        counters = (
            self.parts.forwarder.counters + self._discovery_counters() + self.parts.flow_control.counters()
        )
        log.info("ended: %s", " ".join(f"{name}={count}" for name, count in sorted(counters.items())))

    def drain(self) -> None:
        """Begin the shutdown: listen while clients may still connect, answer all requests, then end."""
        if self._draining:
            return
        self._draining = True
        log.info("ending: no longer ready; accepted requests are answered first")
        # Requests of classes that a reload dropped or changed may be in progress.
        longest_s = _longest_deadline_s(self.parts.forwarder.settings.classes)
        self._shutdown_deadline_at = (
            self._loop.time() + LISTEN_AFTER_SIGTERM_S + longest_s + SHUTDOWN_MARGIN_S
        )
        self._loop.call_later(LISTEN_AFTER_SIGTERM_S, self._stop_listening)
        # Clients disconnected immediately might go to a peer that is still restarting.
        keep_s = min(KEEP_CONNECTIONS_S, KEEP_CONNECTIONS_FRACTION * self._answer_within_s())
        self._loop.call_later(keep_s, self._close_connections)
        if self.parts.cluster_node is not None:
            self.parts.cluster_node.leave()  # last: an error in it must not prevent the shutdown

    def _answer_within_s(self) -> float:
        """The time after SIGTERM within which all accepted requests are answered.

        It depends on the deadlines of the settings in force: where they are short, SIGKILL comes sooner.
        """
        longest_s = _longest_deadline_s(self.parts.forwarder.settings.classes_in_force())
        return min(longest_s, LONGEST_DEADLINE_MAX_S) + SIGKILL_MARGIN_S - ANSWER_BEFORE_SIGKILL_S

    def _stop_listening(self) -> None:
        for listener in self.parts.listeners:
            listener.close()
        if self.parts.gearman_frontend is not None:
            self.parts.gearman_frontend.closing = True
        answer_deadline_at = self._loop.time() + self._answer_within_s() - LISTEN_AFTER_SIGTERM_S
        self.parts.forwarder.set_answer_deadline(answer_deadline_at)

    def _close_connections(self) -> None:
        """Close each connection with its next response, and idle ones within ANNOUNCE_CLOSE_S."""
        self.parts.http_frontend.draining = True
        self.parts.http_frontend.linger = STOPPING_LINGER_S
        # By the first check, the connections in the listeners' accept queues are set up.
        self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._end_when_idle)

    def _end_when_idle(self) -> None:
        announce_s = min(ANNOUNCE_CLOSE_S, ANNOUNCE_CLOSE_FRACTION * self._answer_within_s())
        self.parts.http_frontend.close_idle(announce_s)
        # A client that never completes its request must not prevent the shutdown.
        if self._busy() and self._loop.time() < self._shutdown_deadline_at:
            self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._end_when_idle)
            return
        self.parts.close()
        self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._ended.set)

    def _busy(self) -> bool:
        """Whether any client is connected or waits for an answer."""
        http, gearman = self.parts.http_frontend, self.parts.gearman_frontend
        return bool(
            http.connections
            or http.closing
            or self.parts.forwarder.active_count
            or (gearman is not None and gearman.busy)
        )


def _longest_deadline_s(classes: Iterable[JobClass]) -> float:
    return max(job_class.deadline_ms for job_class in classes) / MS_PER_S


def serve(config: Config, front: FrontConfig, cluster_config: ClusterConfig | None = None) -> None:
    """Run one scheduler until its shutdown is complete, alone or as a node of a cluster."""

    async def run() -> None:
        scheduler = Scheduler(config, front, asyncio.get_running_loop(), cluster_config)
        # The objects of the start are permanent; a full collection during traffic would delay timers.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await scheduler.run()

    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    uvloop.run(run())
