"""Parses the settings of the platform's protocol into `Settings`.

This is the only module that maps the names of the protocol to the names of the code. It checks the type and
range of each value; an invalid value raises `InvalidFieldError`.
"""

from __future__ import annotations

import math
from typing import Any

from pipitshed.config.errors import InvalidFieldError
from pipitshed.scheduling import settings

_IDEMPOTENCY_BY_WORD = {
    "retryable": settings.Idempotency.IDEMPOTENT,
    "dedup": settings.Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": settings.Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPE_BY_WORD = {
    "all": settings.DeduplicationScope.ALL,
    "zone": settings.DeduplicationScope.ZONE,
    "cell": settings.DeduplicationScope.CELL,
}
_WEIGHT_KIND_BY_WORD = {
    "off": settings.WeightKind.NONE,
    "nominal": settings.WeightKind.NOMINAL,
    "rough": settings.WeightKind.ROUGH,
    "live": settings.WeightKind.LIVE,
}
_ENDPOINTS_POLLED_BY_WORD = {"pushed": False, "on_request": True}
_REPORTS_ENABLED_BY_WORD = {"inline": True, "on_probe": True, "off": False}
_WEIGHT_BY_WORK_BY_WORD = {"request": False, "work": True}
_REPORT_FIELD_BY_PROTOCOL_NAME = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency",
    "tps": "rate",
    "err_ps": "errors",
    "x0": "free_slots",
    "x1": "free_memory",
}
_NO_WORKER_KIND = -1  # in the protocol, the class may be served by any kind of worker
_LOWEST_PRIORITY = -math.inf


class _TableReader:
    """Reads a JSON object key by key; an error has the full path of the key."""

    def __init__(self, value: Any, name: str) -> None:
        if not isinstance(value, dict):
            raise InvalidFieldError(name or "the whole object", value, "is not an object")
        self.value = value
        self.name = name

    def full_name(self, key: str) -> str:
        """The path of a key from the root of the settings, for example `services[0].deadline`."""
        return f"{self.name}.{key}" if self.name else key

    def table(self, key: str) -> _TableReader:
        """The object at this key; an empty one where the key is missing."""
        return _TableReader(self.value.get(key, {}), self.full_name(key))

    def items(self, key: str) -> list[Any]:
        """The list at this key; an empty one where the key is missing."""
        value = self.value.get(key, [])
        if not isinstance(value, list):
            raise InvalidFieldError(self.full_name(key), value, "is not a list")
        return value

    def tables(self, key: str) -> list[_TableReader]:
        """The list of objects at this key; an empty one where the key is missing."""
        name = self.full_name(key)
        return [_TableReader(item, f"{name}[{index}]") for index, item in enumerate(self.items(key))]

    def number(
        self, key: str, default: float | None, minimum: float = 0.0, maximum: float = math.inf
    ) -> float:
        """The finite number at this key; both bounds are valid values.

        Raises:
            InvalidFieldError: The value is no finite number or out of range, or key and default are missing.
        """
        value = self.value.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise InvalidFieldError(self.full_name(key), value, "is not a number")
        if not minimum <= value <= maximum:
            raise InvalidFieldError(self.full_name(key), value, "is out of range", show_value=True)
        return float(value)

    def integer(self, key: str, default: int | None, minimum: int = 0) -> int:
        """The whole number at this key."""
        value = self.number(key, default, minimum)
        if value != int(value):
            raise InvalidFieldError(self.full_name(key), value, "is not a whole number", show_value=True)
        return int(value)

    def flag(self, key: str, default: bool = False) -> bool:
        """The boolean at this key."""
        value = self.value.get(key, default)
        if not isinstance(value, bool):
            raise InvalidFieldError(self.full_name(key), value, "is not true or false")
        return value

    def word(self, key: str, words: dict[str, Any], default: str) -> Any:
        """The value to which `words` maps the word at this key."""
        value = self.value.get(key, default)
        if not isinstance(value, str) or value not in words:
            reason = f"is not one of {', '.join(words)}"
            raise InvalidFieldError(self.full_name(key), value, reason, show_value=True)
        return words[value]


def settings_from(value: Any) -> settings.Settings:
    """Parse the settings; unknown keys are ignored.

    Raises:
        InvalidFieldError: A value is invalid.
    """
    root = _TableReader(value, "")
    families = root.table("familyInfo")
    permissions = root.table("permissions")
    charges = root.table("charges")
    rules = root.table("rules")
    stats = root.table("stats")
    classes = _job_classes(root, families)
    zones = root.items("areas")
    own_zone = _own_zone(root, len(zones))
    report_fields = _report_fields(stats)
    return settings.Settings(
        classes=classes,
        tenants=tuple(_tenant(table) for table in root.tables("tenants")),
        costs=_costs(charges),
        limits=_limits(permissions),
        guarantees=_guarantees(rules),
        weight_kind=root.word("weights", _WEIGHT_KIND_BY_WORD, "off"),
        own_zone=own_zone,
        zone_count=max(1, len(zones)),
        scheduler_count=root.integer("siblings", 1, 1),
        tick_ms=root.number("tick", 1.0),
        endpoints_polled=root.word("discovery", _ENDPOINTS_POLLED_BY_WORD, "pushed"),
        workers_report_start=families.flag("tellsStart"),
        progress_interval_ms=families.number("progress", 0.0),
        report_fields=report_fields,
        weight_by_work=root.word("worthBy", _WEIGHT_BY_WORK_BY_WORD, "request"),
    )


def check_entry(kind: str, value: Any) -> None:
    """Check a single entry of the settings, of the kind `class` or `tenant`, as `settings_from` does.

    Raises:
        InvalidFieldError: A value of the entry is invalid.
    """
    if kind == "class":
        _job_class(_TableReader(value, kind), 0, _TableReader({}, "familyInfo"))
    else:
        _tenant(_TableReader(value, kind))


def _job_classes(root: _TableReader, families: _TableReader) -> tuple[settings.JobClass, ...]:
    tables = root.tables("services")
    classes = tuple(_job_class(table, index, families) for index, table in enumerate(tables))
    if not classes:
        raise InvalidFieldError("services", [], "is empty or missing")
    return classes


def _job_class(table: _TableReader, index: int, families: _TableReader) -> settings.JobClass:
    """Parse one class; some of its values are in lists of `familyInfo`, at the index of the class."""

    def family_number(key: str, default: float, minimum: float) -> float:
        values = families.items(key)
        if index >= len(values):
            return default
        return _TableReader({key: values[index]}, f"{families.name}[{index}]").number(key, None, minimum)

    kind = int(family_number("classKind", _NO_WORKER_KIND, _NO_WORKER_KIND))
    deadline_ms = table.number("deadline", None)
    if deadline_ms <= 0:
        name = table.full_name("deadline")
        raise InvalidFieldError(name, deadline_ms, "is not a positive number", show_value=True)
    return settings.JobClass(
        latency_objective_ms=table.number("goalTime", None),
        deadline_ms=deadline_ms,
        priority_weight=table.number("gain", 1.0),
        late_weight=table.number("lateWorth", 0.0),
        latency_objective_per_work=table.number("aimStretch", family_number("classStretch", 0.0, 0.0)),
        idempotency=table.word("repeat", _IDEMPOTENCY_BY_WORD, "fragile"),
        deduplication_scope=table.word("keyScope", _DEDUPLICATION_SCOPE_BY_WORD, "cell"),
        idempotency_window_ms=table.number("window", 0.0),
        stream=table.flag("stream"),
        worker_kind=None if kind < 0 else kind,
        priority=int(family_number("classPriority", 0, _LOWEST_PRIORITY)),
    )


def _tenant(table: _TableReader) -> settings.Tenant:
    return settings.Tenant(table.number("share", 1.0), table.number("allowancePerS", 0.0))


def _costs(table: _TableReader) -> settings.Costs:
    return settings.Costs(
        cross_zone_cost=table.number("crossZone", 0.0),
        wasted_work_cost=table.number("waste", 0.0),
        probe_cost=table.number("probe", 0.0),
        connection_cost=table.number("connection", 0.0),
        handshake_cost=table.number("handshake", 0.0),
        late_failure_cost=table.number("lateFail", 0.0),
    )


def _limits(table: _TableReader) -> settings.Limits:
    return settings.Limits(
        may_cancel=table.flag("cancel"),
        may_probe=table.flag("probes"),
        parallel_attempts=table.flag("parallelTries"),
        clients_honour_retry_after=table.flag("retryAfter"),
        max_attempts=table.integer("maxAttempts", 1, 1),
        max_retry_after_ms=table.number("maxRetryAfter", 0.0),
        connect_timeout_ms=table.number("connectTimeout", 250.0),
        idle_timeout_ms=table.number("idleClose", 15000.0),
    )


def _guarantees(table: _TableReader) -> settings.Guarantees:
    return settings.Guarantees(
        answer_slack_ms=table.number("answerSlack", 0.0),
        drain_grace_ms=table.number("drainGrace", 0.0),
        slow_start_ms=table.number("cold", 0.0),
        initial_capacity_fraction=table.number("coldFrom", 1.0, 0.0, 1.0),
        overload_multiple=table.number("tipMultiple", 0.0),
        overload_window_ms=table.number("overloadFor", 1000.0),
        poll_deadline_ms=table.number("askWithin", 10000.0),
    )


def _own_zone(root: _TableReader, zone_count: int) -> int:
    own_zone = root.integer("locality", 0)
    if own_zone >= max(1, zone_count):
        raise InvalidFieldError("locality", own_zone, "is not one of the areas", show_value=True)
    return own_zone


def _report_fields(table: _TableReader) -> tuple[str, ...]:
    """The fields of workers' load reports in order; an empty name for a field that the scheduler ignores."""
    if not table.word("source", _REPORTS_ENABLED_BY_WORD, "off"):
        return ()
    return tuple(
        _REPORT_FIELD_BY_PROTOCOL_NAME.get(name, "") if isinstance(name, str) else ""
        for name in table.items("fields")
    )
