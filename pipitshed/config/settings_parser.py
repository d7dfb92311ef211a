"""The start settings, as scheduler and simulator are told them, to Settings.

It translates names and checks form; it decides nothing. Impossible values raise SettingsError.
"""

from __future__ import annotations

import math
from typing import Any

from pipitshed.scheduling import settings


class SettingsError(ValueError):
    """The settings do not have their form."""


_EFFECTS = {
    "retryable": settings.Idempotency.IDEMPOTENT,
    "dedup": settings.Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": settings.Idempotency.NON_IDEMPOTENT,
}
_GROUPS = {
    "all": settings.DeduplicationScope.ALL,
    "zone": settings.DeduplicationScope.ZONE,
    "cell": settings.DeduplicationScope.CELL,
}
_WEIGHTS = {
    "off": settings.WeightKind.NONE,
    "nominal": settings.WeightKind.NOMINAL,
    "rough": settings.WeightKind.ROUGH,
    "live": settings.WeightKind.LIVE,
}
_DISCOVERY = {"pushed": False, "on_request": True}
_SOURCES = {"inline": True, "on_probe": True, "off": False}
_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency",
    "tps": "rate",
    "err_ps": "errors",
    "x0": "free_slots",
    "x1": "free_memory",
}


class _Table:
    """A JSON object read key by key; what it refuses, it refuses by the key's full name."""

    def __init__(self, value: Any, name: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"settings: {name or 'the whole'} is not an object")
        self.value = value
        self.name = name

    def _full(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key

    def table(self, key: str) -> _Table:
        return _Table(self.value.get(key, {}), self._full(key))

    def items(self, key: str) -> list[Any]:
        got = self.value.get(key, [])
        if not isinstance(got, list):
            raise SettingsError(f"settings: {self._full(key)} is not a list")
        return got

    def tables(self, key: str) -> list[_Table]:
        return [_Table(item, f"{self._full(key)}[{i}]") for i, item in enumerate(self.items(key))]

    def number(self, key: str, default: float | None, low: float = 0.0, high: float = math.inf) -> float:
        got = self.value.get(key, default)
        if isinstance(got, bool) or not isinstance(got, int | float) or not math.isfinite(got):
            raise SettingsError(f"settings: {self._full(key)} is not a number")
        if not low <= got <= high:
            raise SettingsError(f"settings: {self._full(key)} = {got} is out of range")
        return float(got)

    def whole(self, key: str, default: int | None, low: int = 0) -> int:
        got = self.number(key, default, low)
        if got != int(got):
            raise SettingsError(f"settings: {self._full(key)} = {got} is not a whole number")
        return int(got)

    def flag(self, key: str, default: bool = False) -> bool:
        got = self.value.get(key, default)
        if not isinstance(got, bool):
            raise SettingsError(f"settings: {self._full(key)} is not true or false")
        return got

    def word(self, key: str, words: dict[str, Any], default: str) -> Any:
        got = self.value.get(key, default)
        if not isinstance(got, str) or got not in words:
            raise SettingsError(f"settings: {self._full(key)} = {got!r} is not one of {', '.join(words)}")
        return words[got]


def _class(table: _Table, place: int, family: _Table) -> settings.JobClass:
    def of_family(key: str, default: float, low: float) -> float:
        values = family.items(key)
        if place >= len(values):
            return default
        return _Table({key: values[place]}, f"{family.name}[{place}]").number(key, None, low)

    kind = int(of_family("classKind", -1, -1))
    deadline = table.number("deadline", None)
    if deadline <= 0:
        raise SettingsError(f"settings: {table.name}.deadline = {deadline} is not a positive number")
    return settings.JobClass(
        latency_objective_ms=table.number("goalTime", None),
        deadline_ms=deadline,
        priority_weight=table.number("gain", 1.0),
        late_weight=table.number("lateWorth", 0.0),
        latency_objective_per_work=table.number("aimStretch", of_family("classStretch", 0.0, 0.0)),
        idempotency=table.word("repeat", _EFFECTS, "fragile"),
        deduplication_scope=table.word("keyScope", _GROUPS, "cell"),
        idempotency_window_ms=table.number("window", 0.0),
        stream=table.flag("stream"),
        worker_kind=None if kind < 0 else kind,
        priority=int(of_family("classPriority", 0, -math.inf)),
    )


def _tenant(table: _Table) -> settings.Tenant:
    return settings.Tenant(table.number("share", 1.0), table.number("allowancePerS", 0.0))


def check_entry(kind: str, value: Any) -> None:
    """Check one entry alone, a `class` or a `tenant`, as `settings_from` does; SettingsError where it can't
    be.
    """
    if kind == "class":
        _class(_Table(value, kind), 0, _Table({}, "familyInfo"))
    else:
        _tenant(_Table(value, kind))


def settings_from(value: Any) -> settings.Settings:
    """The start settings; unknown keys are skipped, impossible values refused by the key's name."""
    top = _Table(value, "")
    family, allowed, charged, rules, stats = (
        top.table(key) for key in ("familyInfo", "permissions", "charges", "rules", "stats")
    )
    classes = tuple(_class(table, i, family) for i, table in enumerate(top.tables("services")))
    if not classes:
        raise SettingsError("settings: services is empty or missing")
    zones = top.items("areas")
    locality = top.whole("locality", 0)
    if locality >= max(1, len(zones)):
        raise SettingsError(f"settings: locality = {locality} is not one of the areas")
    fields = stats.items("fields") if stats.word("source", _SOURCES, "off") else []
    return settings.Settings(
        classes=classes,
        tenants=tuple(_tenant(table) for table in top.tables("tenants")),
        costs=settings.Costs(
            cross_zone_cost=charged.number("crossZone", 0.0),
            wasted_work_cost=charged.number("waste", 0.0),
            probe_cost=charged.number("probe", 0.0),
            connection_cost=charged.number("connection", 0.0),
            handshake_cost=charged.number("handshake", 0.0),
            late_failure_cost=charged.number("lateFail", 0.0),
        ),
        limits=settings.Limits(
            may_cancel=allowed.flag("cancel"),
            may_probe=allowed.flag("probes"),
            parallel_attempts=allowed.flag("parallelTries"),
            clients_honour_retry_after=allowed.flag("retryAfter"),
            max_attempts=allowed.whole("maxAttempts", 1, 1),
            max_retry_after_ms=allowed.number("maxRetryAfter", 0.0),
            connect_timeout_ms=allowed.number("connectTimeout", 250.0),
            idle_timeout_ms=allowed.number("idleClose", 15000.0),
        ),
        guarantees=settings.Guarantees(
            answer_slack_ms=rules.number("answerSlack", 0.0),
            drain_grace_ms=rules.number("drainGrace", 0.0),
            slow_start_ms=rules.number("cold", 0.0),
            initial_capacity_fraction=rules.number("coldFrom", 1.0, 0.0, 1.0),
            overload_multiple=rules.number("tipMultiple", 1.0),
            overload_window_ms=rules.number("overloadFor", 1000.0),
            poll_deadline_ms=rules.number("askWithin", 10000.0),
        ),
        weight_kind=top.word("weights", _WEIGHTS, "off"),
        own_zone=locality,
        zone_count=max(1, len(zones)),
        scheduler_count=top.whole("siblings", 1, 1),
        tick_ms=top.number("tick", 1.0),
        endpoints_polled=top.word("discovery", _DISCOVERY, "pushed"),
        workers_report_start=family.flag("tellsStart"),
        progress_interval_ms=family.number("progress", 0.0),
        report_fields=tuple(_FIELDS.get(name, "") if isinstance(name, str) else "" for name in fields),
        weight_by_work=top.word("worthBy", {"request": False, "work": True}, "request"),
    )
