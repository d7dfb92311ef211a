"""Builds the components of a scheduler from its configuration.

Each optional component has its own build function. Where only an option enables it, that function imports it,
so that it costs a scheduler without the option neither start-up time nor memory.
"""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from pipitshed.admin.frontend import AdminFrontend
from pipitshed.config.front import FrontConfig
from pipitshed.config.platform import Config
from pipitshed.config.tenant_registry import TenantRegistry
from pipitshed.discovery.catalog import SOURCE as CATALOG_SOURCE
from pipitshed.discovery.catalog import (
    CatalogClient,
    CatalogUpdate,
    EndpointParser,
    NameIndex,
    update_size_limit,
)
from pipitshed.flow_control import FlowControl
from pipitshed.frontends.http import HttpFrontend, RequestParser
from pipitshed.frontends.listener import Listener
from pipitshed.proxy.decision_log import DecisionLog
from pipitshed.proxy.executed_requests import ExecutedRequests
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.scheduling.events import UNKNOWN_CELL, UNKNOWN_ZONE
from pipitshed.scheduling.settings import Settings
from pipitshed.server.descriptors import DescriptorBudget
from pipitshed.upstream.http import HttpWorkerClient

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig
    from pipitshed.cluster.node import ClusterNode
    from pipitshed.discovery.dns_sd import DnsSdClient
    from pipitshed.discovery.placement_plan import PlacementPlanSource
    from pipitshed.frontends.gearman import GearmanFrontend, GearmanFunction
    from pipitshed.proxy.executed_id_files import ExecutedIdFiles
    from pipitshed.server.translation import TranslationParts


class ServerCallbacks(Protocol):
    """The methods of the server that its components call."""

    def ready(self) -> bool:
        """Whether this process is ready to serve."""
        ...

    def metrics(self) -> bytes:
        """The text of `/-/metrics`."""
        ...

    def drain(self) -> None:
        """Begin the shutdown: answer all accepted requests, then end the process."""


@dataclass(frozen=True, slots=True)
class Names:
    """The configuration's names by number; a reload only adds names, so that a number keeps its name."""

    zones: NameIndex
    kinds: NameIndex
    classes: list[str]  # by class number, with classes that a reload dropped
    tenants: TenantRegistry


@dataclass(slots=True)
class Parts:
    """The components of one scheduler; None where the configuration does not enable one."""

    names: Names
    descriptors: DescriptorBudget
    flow_control: FlowControl
    forwarder: Forwarder
    http_workers: HttpWorkerClient
    translation: TranslationParts | None
    discovery: CatalogClient | None
    dns_sd: DnsSdClient | None
    placement_plan: PlacementPlanSource | None
    http_frontend: HttpFrontend
    gearman_frontend: GearmanFrontend | None = None
    admin_frontend: AdminFrontend | None = None
    admin_listener: Listener | None = None
    cluster_node: ClusterNode | None = None
    listeners: list[Listener] = field(default_factory=list)  # for clients

    def close(self) -> None:
        """Close all components; called once no request is unanswered."""
        if self.discovery is not None:
            self.discovery.stop()
        if self.dns_sd is not None:
            self.dns_sd.close()
        if self.placement_plan is not None:
            self.placement_plan.close()
        if self.gearman_frontend is not None:
            self.gearman_frontend.close()
        if self.cluster_node is not None:
            self.cluster_node.close()
        self.http_workers.close()
        self.forwarder.close()
        if self.translation is not None:
            self.translation.close()


def assemble(
    config: Config,
    front: FrontConfig,
    class_names: list[str],
    server: ServerCallbacks,
    loop: asyncio.AbstractEventLoop,
) -> Parts:
    """Build all components except the cluster node, and listen.

    Discovery starts with the endpoint list that the configuration has cached.
    """
    tenants = TenantRegistry.first(config.tenants)
    names = Names(NameIndex(config.zones, UNKNOWN_ZONE), NameIndex(config.kinds), class_names, tenants)
    descriptors = DescriptorBudget(config.descriptor_limit)
    flow_control = FlowControl(loop, config.memory_mb)
    executed = ExecutedRequests(flow_control.memory, open_executed_id_files(config))
    forwarder = Forwarder(
        config.settings, config.seed, loop, open_decision_log(config), executed, flow_control.memory
    )
    http_workers = HttpWorkerClient(
        forwarder, config.report_fields, loop, descriptors.left_for_workers, flow_control
    )
    translation = build_translation(front, forwarder, http_workers, class_names, loop, flow_control)

    def parser(source: str) -> EndpointParser:
        interfaces = translation.interfaces if translation is not None else None
        last_known = forwarder.endpoints.last_known
        return EndpointParser(source, names.zones, names.kinds, http_workers, interfaces, last_known)

    discovery = build_discovery(config, parser, forwarder, loop, flow_control)
    dns_sd = build_dns_sd(front, parser, forwarder, loop)
    placement_plan = build_placement_plan(config, front, forwarder, class_names, loop)
    translator = translation.translator if translation is not None else None
    http_frontend = HttpFrontend(
        forwarder,
        RequestParser(forwarder, config.classes, tenants.accepted(), translator),
        descriptors.max_http_clients,
        loop,
        server.ready,
        flow_control,
        executed,
    )
    parts = Parts(
        names,
        descriptors,
        flow_control,
        forwarder,
        http_workers,
        translation,
        discovery,
        dns_sd,
        placement_plan,
        http_frontend,
    )
    add_client_listeners(parts, config, front, server, loop)
    descriptors.attach_frontends(http_frontend, parts.gearman_frontend)
    add_admin(parts, config, server, loop)
    return parts


def open_decision_log(config: Config) -> DecisionLog | None:
    """Open the log of the dispatcher's events and actions, and write the settings as its first line."""
    if not config.trace_target:
        return None
    decision_log = DecisionLog.named(config.trace_target)
    decision_log.settings((config.raw or {}).get("settings"))
    return decision_log


def open_executed_id_files(config: Config) -> ExecutedIdFiles | None:
    """Share the ids of executed requests where another process may listen on the same socket."""
    if config.inherited_descriptor is None:
        return None
    from pipitshed.proxy.executed_id_files import ExecutedIdFiles

    name = re.sub(r"[^A-Za-z0-9.]", "_", f"{config.name}-{config.listen[0]}-{config.listen[1]}")
    return ExecutedIdFiles(Path(os.environ.get("TMPDIR", "/tmp")), name)


def build_translation(
    front: FrontConfig,
    forwarder: Forwarder,
    http_workers: HttpWorkerClient,
    class_names: list[str],
    loop: asyncio.AbstractEventLoop,
    flow_control: FlowControl,
) -> TranslationParts | None:
    """Build the translation of messages between forms, and the client of gRPC workers."""
    if front.translation is None:
        return None
    from pipitshed.server.translation import TranslationParts

    return TranslationParts(forwarder, http_workers, front.translation, class_names, loop, flow_control)


def build_discovery(
    config: Config,
    parser: Callable[[str], EndpointParser],
    forwarder: Forwarder,
    loop: asyncio.AbstractEventLoop,
    flow_control: FlowControl,
) -> CatalogClient | None:
    """Build the client of the platform's catalog, and load the cached endpoint list of the configuration."""
    if config.discovery is None:
        return None
    discovery = CatalogClient(
        config.discovery,
        parser(CATALOG_SOURCE),
        forwarder.endpoints,
        loop,
        update_size_limit(config.memory_mb),
        flow_control,
    )
    forwarder.attach_discovery(discovery.fetch)
    apply_discovery_timeouts(discovery, config.settings)
    # An empty list is loaded where none is cached, because the dispatcher polls only after its first list.
    discovery.load_cached(config.cached_list or CatalogUpdate(0, []))
    return discovery


def apply_discovery_timeouts(discovery: CatalogClient, settings: Settings) -> None:
    """Shorten the timeouts of discovery calls where, and only while, the endpoint list is pushed.

    A call that hangs would delay the list beyond the drain grace period.
    """
    if settings.endpoints_pushed:
        discovery.use_push_timeouts(settings.guarantees.drain_grace_ms / 1000)
    else:
        discovery.use_default_timeouts()


def build_dns_sd(
    front: FrontConfig,
    parser: Callable[[str], EndpointParser],
    forwarder: Forwarder,
    loop: asyncio.AbstractEventLoop,
) -> DnsSdClient | None:
    """Build and start the client of DNS service discovery."""
    if front.dns_server is None:
        return None
    from pipitshed.discovery.dns_sd import SOURCE, DnsSdClient

    dns_sd = DnsSdClient(front.dns_server, front.dns_service, parser(SOURCE), forwarder.endpoints, loop)
    dns_sd.start()
    return dns_sd


def build_placement_plan(
    config: Config,
    front: FrontConfig,
    forwarder: Forwarder,
    class_names: list[str],
    loop: asyncio.AbstractEventLoop,
) -> PlacementPlanSource | None:
    """Build the source of worker weights that reads a placement plan file."""
    if front.plan_path is None:
        return None
    from pipitshed.discovery.placement_plan import PlacementPlanSource

    slow_start_ms = config.settings.guarantees.slow_start_ms
    return PlacementPlanSource(
        front.plan_path, own_zone_name(config), class_names, slow_start_ms, forwarder.endpoints, loop
    )


def own_zone_name(config: Config) -> str:
    """The name of this scheduler's zone; empty where the configuration names no zones."""
    return config.zones[config.settings.own_zone] if config.zones else ""


def add_client_listeners(
    parts: Parts,
    config: Config,
    front: FrontConfig,
    server: ServerCallbacks,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Listen for HTTP clients, and for Gearman clients and workers where the front file has addresses."""
    http = parts.http_frontend

    def accept_http_client() -> asyncio.BaseProtocol:
        # When descriptors run short, the oldest idle connection to a worker is closed. The client is not
        # rejected, because the frontend may close another client's connection for it.
        if parts.http_workers.connections >= parts.descriptors.left_for_workers():
            parts.http_workers.close_oldest_idle()
        return http.connection()

    parts.listeners.append(
        Listener(config.listen, accept_http_client, loop, http.may_accept, config.inherited_descriptor)
    )
    if front.gearman_addresses:
        gearman = parts.gearman_frontend = build_gearman_frontend(parts, config, front, server, loop)
        for address in front.gearman_addresses:
            parts.listeners.append(Listener(address, gearman.connection, loop, gearman.may_accept))


def build_gearman_frontend(
    parts: Parts,
    config: Config,
    front: FrontConfig,
    server: ServerCallbacks,
    loop: asyncio.AbstractEventLoop,
) -> GearmanFrontend:
    """Build the frontend of Gearman clients, and the client of Gearman workers."""
    from pipitshed.frontends.gearman import GearmanFrontend
    from pipitshed.protocols.gearman_handles import JobHandles
    from pipitshed.protocols.http import BODY_LIMIT_BYTES
    from pipitshed.upstream.gearman import GearmanWorkerClient, WorkerLocation

    functions = gearman_functions(parts, front)
    class_names = parts.names.classes
    zones, kinds = parts.names.zones, parts.names.kinds
    location = WorkerLocation(
        zones.index(front.gearman_workers.zone) if front.gearman_workers.zone else None,
        UNKNOWN_CELL if front.gearman_workers.cell is None else front.gearman_workers.cell,
        kinds.index(front.gearman_workers.kind),
        front.gearman_workers.weight,
    )
    handles = JobHandles(config.name or "pipitshed")
    workers = GearmanWorkerClient(
        parts.forwarder,
        {name: function.class_name for name, function in functions.items()},
        class_names,
        location,
        BODY_LIMIT_BYTES,
        handles,
        loop,
        parts.flow_control.memory,
    )
    return GearmanFrontend(
        parts.forwarder,
        workers,
        functions,
        {name: number for number, name in enumerate(class_names)},
        parts.names.tenants.accepted(),
        loop,
        handles,
        parts.descriptors.max_gearman_peers,
        server.drain,
        parts.flow_control,
    )


def gearman_functions(parts: Parts, front: FrontConfig) -> dict[str, GearmanFunction]:
    """The Gearman functions by name, with the class, tenant, timeout and message form of their jobs."""
    from pipitshed.frontends.gearman import GearmanFunction

    translator = parts.translation.translator if parts.translation is not None else None
    functions = {}
    for name, function in front.gearman_functions.items():
        form = function.form_version
        if translator is not None and form is None:
            form = translator.clients.gearman
        functions[name] = GearmanFunction(
            function.job_class, function.tenant, function.client_timeout_ms, form
        )
    return functions


def add_admin(parts: Parts, config: Config, server: ServerCallbacks, loop: asyncio.AbstractEventLoop) -> None:
    """Listen on the admin address where the configuration has one."""
    if config.admin_address is not None:
        parts.admin_frontend = AdminFrontend(server.ready, server.metrics, loop, parts.flow_control)
        parts.admin_listener = Listener(config.admin_address, parts.admin_frontend.connection, loop)


def build_cluster_node(
    cluster_config: ClusterConfig,
    config: Config,
    raw_config: Callable[[], dict[str, Any]],
    apply_row_settings: Callable[[dict[str, Any]], object],
    loop: asyncio.AbstractEventLoop,
) -> ClusterNode:
    """Build the node of the cluster; the callbacks read the configuration and apply settings rows to it."""
    from pipitshed.cluster.node import ClusterNode
    from pipitshed.cluster.settings import SettingsTarget

    target = SettingsTarget(raw_config, apply_row_settings)
    return ClusterNode(cluster_config, own_zone_name(config), loop, target)
