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
    "retryable": settings.Effect.SAFE,
    "dedup": settings.Effect.KEYED,
    "fragile": settings.Effect.UNSAFE,
}
_GROUPS = {"all": settings.Group.ALL, "zone": settings.Group.ZONE, "cell": settings.Group.CELL}
_WEIGHTS = {
    "off": settings.Weights.NONE,
    "nominal": settings.Weights.NOMINAL,
    "rough": settings.Weights.ROUGH,
    "live": settings.Weights.LIVE,
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
        aim=table.number("goalTime", None),
        deadline=deadline,
        worth=table.number("gain", 1.0),
        late_worth=table.number("lateWorth", 0.0),
        stretch=table.number("aimStretch", of_family("classStretch", 0.0, 0.0)),
        effect=table.word("repeat", _EFFECTS, "fragile"),
        group=table.word("keyScope", _GROUPS, "cell"),
        window=table.number("window", 0.0),
        stream=table.flag("stream"),
        kind=None if kind < 0 else kind,
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
        prices=settings.Prices(
            cross_zone=charged.number("crossZone", 0.0),
            waste=charged.number("waste", 0.0),
            probe=charged.number("probe", 0.0),
            connection=charged.number("connection", 0.0),
            handshake=charged.number("handshake", 0.0),
            late_fail=charged.number("lateFail", 0.0),
        ),
        limits=settings.Limits(
            cancel=allowed.flag("cancel"),
            probes=allowed.flag("probes"),
            parallel=allowed.flag("parallelTries"),
            retry_after=allowed.flag("retryAfter"),
            max_attempts=allowed.whole("maxAttempts", 1, 1),
            max_retry_after=allowed.number("maxRetryAfter", 0.0),
            connect_timeout=allowed.number("connectTimeout", 250.0),
            idle_close=allowed.number("idleClose", 15000.0),
        ),
        rules=settings.Rules(
            answer_slack=rules.number("answerSlack", 0.0),
            drain_grace=rules.number("drainGrace", 0.0),
            cold=rules.number("cold", 0.0),
            cold_from=rules.number("coldFrom", 1.0, 0.0, 1.0),
            fall_multiple=rules.number("tipMultiple", 1.0),
            fall_for=rules.number("overloadFor", 1000.0),
            ask_within=rules.number("askWithin", 10000.0),
        ),
        weights=top.word("weights", _WEIGHTS, "off"),
        zone=locality,
        zones=max(1, len(zones)),
        siblings=top.whole("siblings", 1, 1),
        tick=top.number("tick", 1.0),
        list_on_request=top.word("discovery", _DISCOVERY, "pushed"),
        tells_start=family.flag("tellsStart"),
        progress=family.number("progress", 0.0),
        report_fields=tuple(_FIELDS.get(name, "") if isinstance(name, str) else "" for name in fields),
        worth_by_work=top.word("worthBy", {"request": False, "work": True}, "request"),
    )
