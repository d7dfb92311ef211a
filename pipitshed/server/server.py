"""Puts the parts together and runs them from the start to the last answer."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from pipitshed.admin.frontend import AdminFrontend
from pipitshed.admin.metrics import Gauges, by_class, count_lines, render
from pipitshed.config.class_registry import DROPPED_CLASS_GRACE_S, ClassChanges, ClassRegistry
from pipitshed.config.completeness import missing_key
from pipitshed.config.errors import ConfigError
from pipitshed.config.front import FrontConfig
from pipitshed.config.platform import Config, load_platform_config, with_settings
from pipitshed.discovery.catalog import SOURCE as DISCOVERY
from pipitshed.discovery.catalog import (
    CatalogClient,
    CatalogUpdate,
    EndpointParser,
    NameIndex,
    update_size_limit,
)
from pipitshed.frontends.gearman import GearmanFrontend, GearmanFunction
from pipitshed.frontends.http import LINGER_ENDING, HttpFrontend, RequestParser
from pipitshed.frontends.listener import Listener
from pipitshed.protocols.http import BODY_LIMIT
from pipitshed.proxy.decision_log import DecisionLog
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.upstream.gearman import GearmanWorkerClient, WorkerLocation
from pipitshed.upstream.http import HttpWorkerClient

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig
    from pipitshed.cluster.node import ClusterNode
    from pipitshed.discovery.dns_sd import DnsSdClient
    from pipitshed.discovery.placement_plan import PlacementPlanSource
    from pipitshed.server.translation import TranslationParts

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
LISTEN_ON = 0.5  # s after SIGTERM: new connections keep coming for up to 0.4 s
STAY = 2.0  # s after SIGTERM for which kept connections are served on: a peer may be starting again by then
KILLED_AFTER = 0.7  # s after SIGTERM, beside the longest deadline, at which SIGKILL comes
LONGEST_COUNTED = 3.0  # s that the longest deadline counts at most for that
BEFORE_KILL = 0.3  # s before SIGKILL by which all that came after LISTEN_ON is answered
STAY_PART = 0.6  # part of the time until then for which kept connections are served on at most
LONGEST_END = 1.0  # s beyond the longest deadline after which nothing can be owed any more
SETTLE = 0.02  # s between looks whether all is answered
CLIENTS_PART = 0.4  # part of the descriptors for HTTP clients' connections
GEARMAN_PART = 0.2  # and for Gearman's; the rest is for attempts
SPARE_PART = 12  # part of them (one in so many) that neither clients nor attempts take: discovery, operators
ATTEMPTS_PART = 8  # the part of them (one in so many) that attempts may have whatever clients hold
LEAST_SPARE = 20  # of those at least: what a process holds before anybody comes, and one call to discovery
READY_WITHOUT_LIST = 4.0  # s after the start from which the process is ready without a list from discovery

log = logging.getLogger("pipitshed")


class Scheduler:
    """One running scheduler."""

    def __init__(
        self,
        config: Config,
        front: FrontConfig,
        loop: asyncio.AbstractEventLoop,
        peers: ClusterConfig | None = None,
    ) -> None:
        self._loop = loop
        self._ended = asyncio.Event()
        self._draining = False
        self._end_by = 0.0
        self._started = loop.time()
        self.config = config
        self.book = ClassRegistry.first(config.classes, config.settings.classes)
        self._names = list(self.book.names)  # of all class numbers, for the parts that tell them by name
        self.conf_loaded = self.conf_invalid = 0
        decision_log = None
        if config.trace:
            decision_log = DecisionLog.named(config.trace)
            decision_log.settings((config.raw or {}).get("settings"))
        self.core = Forwarder(config.settings, config.seed, loop, decision_log)
        self.carrier = HttpWorkerClient(self.core, config.fields, loop, self._left)
        zones, kinds = self._zones, self._kinds = NameIndex(config.zones), NameIndex(config.kinds)
        self.translation = self._translation(front) if front.translation is not None else None
        carriers = self.translation.interfaces if self.translation is not None else None
        self.discovery: CatalogClient | None = None
        self.dns_sd: DnsSdClient | None = None
        self.gearman: GearmanFrontend | None = None
        if config.discovery is not None:
            self.discovery = CatalogClient(
                config.discovery,
                EndpointParser(DISCOVERY, zones, kinds, self.carrier, carriers),
                self.core.endpoints,
                loop,
                update_size_limit(config.memory_mb),
            )
            self.core.attach_discovery(self.discovery.fetch)
            self._hurry(config)
            # Guards against a start with no list that is known: the decisions ask once they are told one.
            self.discovery.load_cached(config.known or CatalogUpdate(0, []))
        if front.dns_server is not None:
            # Imported where it is asked for: on the platform its library is a third of the time to start.
            from pipitshed.discovery.dns_sd import SOURCE, DnsSdClient

            self.dns_sd = DnsSdClient(
                front.dns_server,
                front.dns_service,
                EndpointParser(SOURCE, zones, kinds, self.carrier, carriers),
                self.core.endpoints,
                loop,
            )
            self.dns_sd.start()
        translator = self.translation.translator if self.translation is not None else None
        self.plan = self._plan(config, front) if front.plan is not None else None
        self.front = HttpFrontend(
            self.core,
            RequestParser(self.core, config.classes, config.tenants, translator),
            int(config.sockets * CLIENTS_PART),
            loop,
            self.ready,
        )
        self.listeners = [Listener(config.listen, self._client, loop, self.front.has_room, config.passed)]
        if front.listen:
            gearman = self.gearman = self._gearman(config, front, zones, kinds)
            self.listeners += [
                Listener(address, gearman.connection, loop, gearman.has_room) for address in front.listen
            ]
        self.mgmt: AdminFrontend | None = None
        self.mgmt_listener: Listener | None = None
        if config.mgmt is not None:
            self.mgmt = AdminFrontend(self.ready, self.figures, loop)
            self.mgmt_listener = Listener(config.mgmt, self.mgmt.connection, loop)
        self.fleet = self._fleet(config, front, peers) if peers is not None else None

    def _left(self) -> int:
        """How many descriptors clients leave for planners' connections."""
        sockets = self.config.sockets
        clients = len(self.front.connections) + len(self.front.closing)
        if self.gearman is not None:
            clients += len(self.gearman.connections)
        return max(sockets - max(LEAST_SPARE, sockets // SPARE_PART) - clients, sockets // ATTEMPTS_PART)

    def _client(self) -> asyncio.Protocol:
        """A new client's connection. Where descriptors run short, a planner's connection that rests makes
        room; no client is turned away for want of one, as it may displace another client itself.
        """
        if self.carrier.connections >= self._left():
            self.carrier.close_oldest_idle()
        return self.front.connection()

    def ready(self) -> bool:
        """Whether this process is ready to serve: not ending, and with a list from discovery (or where nobody
        takes calls to it, or a while after the start). Guards against jobs sent by the list that it knew when
        it was killed: planners that have gone since count as told.
        """
        listed = (
            self.discovery is None
            or self.discovery.received_any
            or self.discovery.unreachable
            or (self._loop.time() - self._started > READY_WITHOUT_LIST)
        )
        return listed and not self._draining

    def figures(self) -> bytes:
        """The text of the operators' `/-/metrics`."""
        core = self.core
        gauges = Gauges(
            core.active_count,
            core.endpoints.size(),
            core.ejected_count(),
            self.conf_loaded,
            self.conf_invalid,
        )
        told = render(by_class(self.book.names, core.answered_counts, core.sent_counts), gauges)
        if self.fleet is None:
            return told
        tally = self.discovery.counters if self.discovery is not None else Counter[str]()
        return told + self.fleet.lines() + count_lines(tally)

    def _gearman(
        self, config: Config, front: FrontConfig, zones: NameIndex, kinds: NameIndex
    ) -> GearmanFrontend:
        functions = {}
        translator = self.translation.translator if self.translation is not None else None
        for name, function in front.functions.items():
            class_name, tenant = function.job_class, function.tenant
            patience, form = function.client_timeout_ms, function.form_version
            number = config.classes.index(class_name)
            known = config.tenants.index(tenant) if tenant in config.tenants else len(config.tenants)
            if translator is not None and form is None:
                form = translator.clients.gearman
            functions[name] = GearmanFunction(
                number, known, min(patience, config.settings.classes[number].deadline_ms), tenant, form
            )
        zone = zones.index(front.workers.zone) if front.workers.zone else config.settings.own_zone
        place = WorkerLocation(
            zone, front.workers.cell, kinds.index(front.workers.kind), front.workers.weight
        )
        carrier = GearmanWorkerClient(
            self.core, {name: one.job_class for name, one in functions.items()}, place, BODY_LIMIT, self._loop
        )
        label = f"{config.name or 'pipitshed'}-{config.seed & 0xFFFFFFFF:08x}"
        return GearmanFrontend(
            self.core, carrier, functions, self._loop, label, int(config.sockets * GEARMAN_PART), self.drain
        )

    def _translation(self, front: FrontConfig) -> TranslationParts:
        # Imported where it is asked for: the platform's start and memory stay as they are.
        from pipitshed.server.translation import TranslationParts

        assert front.translation is not None
        return TranslationParts(self.core, self.carrier, front.translation, self._names, self._loop)

    def _plan(self, config: Config, front: FrontConfig) -> PlacementPlanSource:
        # Imported where it is asked for, as above.
        from pipitshed.discovery.placement_plan import PlacementPlanSource

        assert front.plan is not None
        zone = config.zones[config.settings.own_zone] if config.zones else ""
        return PlacementPlanSource(
            front.plan,
            zone,
            self._names,
            config.settings.guarantees.slow_start_ms,
            self.core.endpoints,
            self._loop,
        )

    def _fleet(self, config: Config, front: FrontConfig, peers: ClusterConfig) -> ClusterNode:
        # Imported where it is asked for, as above; only the option `--fleet` asks.
        from pipitshed.cluster.node import ClusterNode
        from pipitshed.cluster.settings import SettingsTarget

        zone = config.zones[config.settings.own_zone] if config.zones else ""
        # Gearman's functions and workers know the classes by the numbers of the start.
        fixed = (
            frozenset(function.job_class for function in front.functions.values())
            if front.listen
            else frozenset()
        )
        tuned = SettingsTarget(
            lambda: self.config.raw or {},
            lambda settings: self._retune(with_settings(self.config, settings)),
            fixed,
        )
        return ClusterNode(peers, zone, self._loop, tuned)

    def _hurry(self, config: Config) -> None:
        if self.discovery is not None and config.settings.endpoints_pushed:
            self.discovery.set_timeouts(config.settings.guarantees.drain_grace_ms / 1000)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, and then until all that was taken is answered."""
        for number in SIGNALS[:2]:
            self._loop.add_signal_handler(number, self.drain)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # what has come since the start comes now
        for listener in self.listeners:
            log.info("listening on %s:%d%s", *listener.address, " (passed)" if listener.passed else "")
        if self.mgmt_listener is not None:
            log.info("operators' address on %s:%d", *self.mgmt_listener.address)
        if self.fleet is not None:
            await self.fleet.start()
        await self._ended.wait()
        # Guards the exit code: when the loop ends, its handlers go.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        tally = self.core.counters + (self.discovery.counters if self.discovery is not None else Counter())
        log.info("ended: %s", " ".join(f"{name}={count}" for name, count in sorted(tally.items())))

    def reload(self) -> None:
        """Read the configuration again: new settings, and discovery followed to the address it names;
        exchanges, attempts and the route table stay as they are, and so does each exchange's class.
        """
        if self.plan is not None:
            self.plan.read()
        # Guards against the end of the program by a file that is half written or wrong: the old one stands.
        try:
            config = load_platform_config()
            if (missing := missing_key(self.config.raw, config.raw)) is not None:
                raise ConfigError(f"the file lacks {missing}")
        except ConfigError as error:
            self.conf_invalid += 1
            log.error("the configuration stays as it was: %s", error)
            return
        self.conf_loaded += 1
        if self.fleet is not None and self.fleet.settings is not None and config.raw is not None:
            config = with_settings(config, self.fleet.settings.over(config.raw))
        change = self._retune(config)
        log.info("settings read anew: %s; at most %d attempts", change, config.settings.limits.max_attempts)
        if self.discovery is None or config.discovery is None:
            log.warning("the configuration is read again; discovery can't be followed from or to nowhere")
            return
        self._hurry(config)
        self.discovery.size_limit = update_size_limit(config.memory_mb)
        self.discovery.follow(config.discovery)
        log.info("the configuration is read again; discovery is at %s:%d", *config.discovery)

    def _retune(self, config: Config) -> ClassChanges:
        """Take the settings of a file that is whole, or of one with rows over it."""
        now = self._loop.time()
        told = config.settings
        # Guards against a file that tells zones, kinds or report fields in another order: planners that are
        # listed keep the places that the names had first, and reports come by the new names.
        zone = self._zones.index(config.zones[told.own_zone]) if config.zones else told.own_zone
        classes = [
            cls
            if cls.worker_kind is None or cls.worker_kind >= len(config.kinds)
            else replace(cls, worker_kind=self._kinds.index(config.kinds[cls.worker_kind]))
            for cls in told.classes
        ]
        self.book, change = self.book.updated(config.classes, classes, now)
        more = len(self.book.names) > len(self._names)
        self._names[:] = self.book.names
        if self.plan is not None and more:
            self.plan.apply_weights()
        settings = replace(told, classes=self.book.classes, own_zone=zone)
        self.core.apply_settings(settings)
        self.carrier.apply_settings(settings.limits, config.fields)
        self.front.parser.apply_settings(self.book.accepted_at(now), config.tenants)
        if self.book.leaving:
            self._loop.call_later(DROPPED_CLASS_GRACE_S, self._door)
        self.config = config
        return change

    def _door(self) -> None:
        """Classes that a file dropped are taken no more once their grace is over."""
        now = self._loop.time()
        taken = self.book.accepted_at(now)
        self.front.parser.apply_settings(taken, self.config.tenants)
        # Guards against a timer that fires a little early, as uvloop's may: the grace is then not over yet.
        if pending := [entry.until for entry in self.book.leaving.values() if entry.until > now]:
            self._loop.call_later(min(pending) - now + 0.001, self._door)
        else:
            log.info("classes taken now: %s", ", ".join(taken))

    def drain(self) -> None:
        """Stop in good order: listen on while clients may still be sent here, serve those that are here a
        little longer, answer all, then end.
        """
        if self._draining:
            return
        self._draining = True
        log.info("ending: no longer ready; all that was taken is answered first")
        longest = max(cls.deadline_ms for cls in self.core.settings.classes) / 1000
        self._end_by = self._loop.time() + LISTEN_ON + longest + LONGEST_END
        self._loop.call_later(LISTEN_ON, self._close_doors)
        # Guards against a roll in which nobody is left to go to: clients sent away at once find the peer that
        # was restarted just before still down.
        self._loop.call_later(min(STAY, STAY_PART * self._answer_by()), self._send_away)
        if self.fleet is not None:
            self.fleet.leave()  # last: nothing that goes wrong in it keeps the program from its end

    def _answer_by(self) -> float:
        """The time after SIGTERM (s) by which all that came late is answered. Guards against the figure of a
        deployment with long deadlines in one where they are short, and SIGKILL comes sooner.
        """
        longest = max(cls.deadline_ms for cls in self.core.settings.classes) / 1000
        return min(longest, LONGEST_COUNTED) + KILLED_AFTER - BEFORE_KILL

    def _close_doors(self) -> None:
        for listener in self.listeners:
            listener.close()
        if self.gearman is not None:
            self.gearman.closing = True
        self.core.set_answer_deadline(self._loop.time() + self._answer_by() - LISTEN_ON)

    def _send_away(self) -> None:
        self.front.draining = True
        self.front.linger = LINGER_ENDING
        # A little later, what stood in the listeners' queues has its connection.
        self._loop.call_later(SETTLE, self._end_when_idle)

    def _end_when_idle(self) -> None:
        self.front.close_idle()
        owed = (
            self.front.connections
            or self.front.closing
            or self.core.active_count
            or (self.gearman is not None and self.gearman.busy)
        )
        # Guards against a client that never ends the request it has begun.
        if owed and self._loop.time() < self._end_by:
            self._loop.call_later(SETTLE, self._end_when_idle)
            return
        if self.discovery is not None:
            self.discovery.stop()
        if self.dns_sd is not None:
            self.dns_sd.close()
        if self.plan is not None:
            self.plan.close()
        if self.gearman is not None:
            self.gearman.close()
        if self.fleet is not None:
            self.fleet.close()
        self.carrier.close()
        self.core.close()
        if self.translation is not None:
            self.translation.close()
        self._loop.call_later(SETTLE, self._ended.set)


def serve(config: Config, front: FrontConfig, peers: ClusterConfig | None = None) -> None:
    """Run one scheduler to its end, alone or among the peers that a file names."""

    async def run() -> None:
        scheduler = Scheduler(config, front, asyncio.get_running_loop(), peers)
        # What stands now stays; a full collection in the middle of traffic would make timers late.
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 100)
        await scheduler.run()

    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    uvloop.run(run())
