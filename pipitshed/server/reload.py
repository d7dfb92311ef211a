"""Applies new settings to a running scheduler: from the file at SIGHUP, or from the cluster's rows."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import Any

from pipitshed.config.class_registry import DROPPED_CLASS_GRACE_S, ClassChanges, ClassRegistry
from pipitshed.config.completeness import missing_key
from pipitshed.config.errors import ConfigError
from pipitshed.config.platform import Config, load_platform_config, with_settings
from pipitshed.discovery.catalog import update_size_limit
from pipitshed.scheduling.settings import JobClass, Settings
from pipitshed.server.assembly import Parts, apply_discovery_timeouts, own_zone_name

TIMER_MARGIN_S = 0.001  # added after the grace period of a class, as a timer may fire early

log = logging.getLogger("pipitshed")


class SettingsReloader:
    """Holds the configuration in force, and applies new ones to the scheduler's components."""

    def __init__(
        self, config: Config, classes: ClassRegistry, parts: Parts, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.config = config
        self.classes = classes
        self.loaded_count = 0  # files applied at SIGHUP
        self.invalid_count = 0  # files rejected at SIGHUP
        self._parts = parts
        self._loop = loop

    def raw_config(self) -> dict[str, Any]:
        """The configuration file in force, as it was read."""
        return self.config.raw or {}

    def reload(self) -> None:
        """Read the configuration file again, apply its settings, and use its discovery address.

        Requests, attempts and the endpoint table are kept, and each request keeps its class. The placement
        plan is read last, as it is checked against the zone of the settings in force.
        """
        self._reload_config()
        if self._parts.placement_plan is not None:
            self._parts.placement_plan.read()

    def _reload_config(self) -> None:
        # An incomplete or invalid file must not end the process: the configuration in force is kept.
        try:
            config = load_platform_config()
            if (missing := missing_key(self.config.raw, config.raw)) is not None:
                raise ConfigError(f"the file lacks the key {missing}")
            changes = self._apply_with_rows(config)
        except ConfigError as error:
            self.invalid_count += 1
            log.error("configuration rejected, the previous one stays in force: %s", error)
            return
        self.loaded_count += 1
        max_attempts = self.config.settings.limits.max_attempts
        log.info("settings applied: %s; at most %d attempts for a job", changes, max_attempts)
        self._follow_discovery(self.config)

    def _apply_with_rows(self, config: Config) -> ClassChanges:
        """Apply the configuration, with the cluster's settings rows applied to the file's settings."""
        node = self._parts.cluster_node
        if node is None or node.settings is None or config.raw is None:
            return self.apply(config)
        return node.settings.reapply_over(
            config.raw, lambda settings: self.apply(with_settings(config, settings))
        )

    def _follow_discovery(self, config: Config) -> None:
        discovery = self._parts.discovery
        if discovery is None or config.discovery is None:
            log.warning(
                "configuration reloaded; discovery not followed: the old or the new file names no address"
            )
            return
        apply_discovery_timeouts(discovery, config.settings)
        discovery.size_limit = update_size_limit(config.memory_mb)
        discovery.follow(config.discovery)
        log.info("configuration reloaded; discovery is at %s:%d", *config.discovery)

    def apply_row_settings(self, settings: dict[str, Any]) -> ClassChanges:
        """Apply the given settings: those of the file in force, with the cluster's rows applied to them."""
        return self.apply(with_settings(self.config, settings))

    def apply(self, config: Config) -> ClassChanges:
        """Apply the settings of a complete file, or of a file with rows applied to it."""
        now = self._loop.time()
        number_count = len(self.classes.names)
        changes = self._number_classes_and_tenants(config, now)
        self._apply_to_components(config, self._numbered_settings(config))
        if self._parts.placement_plan is not None and len(self.classes.names) > number_count:
            self._parts.placement_plan.apply_weights()
        self._apply_numbers_to_frontends(now)
        if self.classes.leaving:
            self._loop.call_later(DROPPED_CLASS_GRACE_S, self._drop_expired_classes)
        self.config = config
        return changes

    def _number_classes_and_tenants(self, config: Config, now: float) -> ClassChanges:
        """Give the classes and tenants of the file their numbers."""
        names = self._parts.names
        classes = [self._with_first_kind_number(job_class, config) for job_class in config.settings.classes]
        self.classes, changes = self.classes.updated(config.classes, classes, now)
        names.classes[:] = self.classes.names
        self._parts.names = replace(names, tenants=names.tenants.updated(config.tenants))
        return changes

    def _numbered_settings(self, config: Config) -> Settings:
        """The settings of the file with the numbers that this process uses.

        The file may list zones, kinds and report fields in another order than at the start. Workers in the
        endpoint table keep the zone and kind numbers of the start; reports use the new order of fields.
        """
        names, settings = self._parts.names, config.settings
        own_zone = names.zones.index(config.zones[settings.own_zone]) if config.zones else settings.own_zone
        return replace(
            settings,
            classes=self.classes.classes,
            dropped_classes=self.classes.dropped(),
            tenants=names.tenants.by_number(settings.tenants),
            own_zone=own_zone,
        )

    def _apply_to_components(self, config: Config, settings: Settings) -> None:
        """Tell all components but the frontends what they were built with at the start."""
        parts = self._parts
        parts.forwarder.apply_settings(settings)
        parts.http_workers.apply_settings(settings.limits, config.report_fields)
        if parts.translation is not None:
            parts.translation.grpc_workers.apply_limits(settings.limits)
        if parts.placement_plan is not None:
            parts.placement_plan.apply_settings(own_zone_name(config), settings.guarantees.slow_start_ms)
        parts.descriptors.descriptor_count = config.descriptor_limit
        parts.flow_control.memory.set_limit(config.memory_mb)

    def _with_first_kind_number(self, job_class: JobClass, config: Config) -> JobClass:
        """The class with the number that its worker kind had at the start."""
        kind = job_class.worker_kind
        if kind is None or kind >= len(config.kinds):
            return job_class
        return replace(job_class, worker_kind=self._parts.names.kinds.index(config.kinds[kind]))

    def _apply_numbers_to_frontends(self, now: float) -> None:
        """Tell the frontends the numbers of the classes and tenants that are accepted at loop time `now`."""
        classes, tenants = self.classes.accepted_at(now), self._parts.names.tenants.accepted()
        self._parts.http_frontend.parser.apply_settings(classes, tenants)
        if self._parts.gearman_frontend is not None:
            self._parts.gearman_frontend.apply_settings(classes, tenants)

    def _drop_expired_classes(self) -> None:
        """Stop accepting dropped classes whose grace period is over."""
        now = self._loop.time()
        self._apply_numbers_to_frontends(now)
        # A uvloop timer may fire slightly early, before the grace period is over.
        if pending := [entry.until for entry in self.classes.leaving.values() if entry.until > now]:
            self._loop.call_later(min(pending) - now + TIMER_MARGIN_S, self._drop_expired_classes)
        else:
            log.info("classes accepted now: %s", ", ".join(self.classes.accepted_at(now)))
