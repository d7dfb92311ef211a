"""What a dispatcher is told at its start and by new settings.

Times are milliseconds. Classes, tenants, zones and kinds are named by their place in the settings.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Effect(enum.Enum):
    """What running a job twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """The workers among which repeats of a keyed job are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Weights(enum.Enum):
    """The meaning of a listed worker's weight."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs; `kind` is the only kind of worker that runs it, or None."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    stretch: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window: float = 0.0
    stream: bool = False
    kind: int | None = None
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share and its allowance in jobs a second over all dispatchers (0: unlimited)."""

    share: float = 1.0
    allowance: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """What is taken off the result, in parts of the worth asked for."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    cancel: bool = False
    probes: bool = False
    parallel: bool = False
    retry_after: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    connect_timeout: float = 250.0
    idle_close: float = 15000.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the four rules."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold: float = 0.0
    cold_from: float = 1.0
    fall_multiple: float = 1.0
    fall_for: float = 1000.0
    ask_within: float = 10000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    weights: Weights = Weights.NONE
    zone: int = 0
    zones: int = 1
    siblings: int = 1
    tick: float = 1.0
    list_on_request: bool = False
    list_pushed: bool = False  # asked for on sockets alone, of an agent whose news counts as told at once
    tells_start: bool = False
    progress: float = 0.0
    report_fields: tuple[str, ...] = ()
    worth_by_work: bool = False
