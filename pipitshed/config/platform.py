"""What the scheduler is told at its start: LB_CONFIG and the variables beside it."""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Literal

import msgspec

from pipitshed.config.settings_parser import SettingsError, settings_from
from pipitshed.discovery.catalog import CatalogUpdate
from pipitshed.protocols.address import parse_address
from pipitshed.protocols.toml import line_at
from pipitshed.scheduling.settings import Settings

if TYPE_CHECKING:
    from pipitshed.translation.file import TranslationFile


class ConfigError(ValueError):
    """The configuration can't be used; the text says why in one line."""


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _Named(msgspec.Struct):
    name: str = ""


class _Stats(msgspec.Struct):
    fields: list[str] = []


class _Names(msgspec.Struct):
    """The names in the settings, which the decisions know by their places only."""

    services: list[_Named] = []
    tenants: list[_Named] = []
    areas: list[str] = []
    shapes: list[str] = []
    stats: _Stats = msgspec.field(default_factory=_Stats)


class _File(msgspec.Struct):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    mgmt: str = ""
    seed: str = "0"
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: CatalogUpdate | None = None


@dataclass(frozen=True)
class Config:
    """The typed configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    sockets: int
    memory_mb: float
    known: CatalogUpdate | None
    settings: Settings
    classes: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]
    fields: list[str]
    mgmt: tuple[str, int] | None = None  # the operators' address
    passed: int | None = None  # the descriptor of a listening socket that the platform holds
    raw: dict[str, Any] | None = None  # the file as it was read, for the next file's check
    trace: str = ""  # LB_TRACE: where the decisions' trace goes, `-` for the standard error; none where empty


def inherited_socket(environment: Mapping[str, str]) -> int | None:
    """The descriptor that `LB_PASSED_SOCKET` names: a number, or 3 where it names it otherwise."""
    text = environment.get("LB_PASSED_SOCKET", "").strip()
    if not text:
        return None
    return int(text) if text.isdigit() else 3


def _on_sockets(settings: Settings) -> Settings:
    """The settings as they hold on sockets. Guards against a list that no one ever asks for: where the
    settings say that news is pushed, a watch is what it comes by, as discovery answers only who calls.
    """
    return replace(settings, endpoints_polled=True, endpoints_pushed=not settings.endpoints_polled)


def with_settings(config: Config, settings: dict[str, Any]) -> Config:
    """The configuration with the settings of another file, which has the same names; `raw` stays the file
    that was read. SettingsError where the settings can't be.
    """
    return replace(config, settings=_on_sockets(settings_from(settings)))


def load_platform_config(environment: Mapping[str, str] = os.environ) -> Config:
    """Read what LB_CONFIG names; ConfigError where that can't be used."""
    path = environment.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        raw = msgspec.json.decode(Path(path).read_bytes())
        if not isinstance(raw, dict):
            raise ValueError("the file holds no object")
        file = msgspec.convert(raw, _File)
        names = msgspec.convert(file.settings, _Names)
        listen = parse_address(file.listen or environment.get("LB_LISTEN", ""))
        asked = file.discovery or environment.get("LB_DISCOVERY", "")
        # Each process is told its own in the environment: at an upgrade, two share one file.
        mgmt = environment.get("LB_MGMT", "") or file.mgmt
        return Config(
            file.name or environment.get("LB_NAME", ""),
            listen,
            parse_address(asked) if asked else None,
            int(file.seed, 16),
            file.limits.sockets,
            file.limits.memory_mb,
            file.known,
            _on_sockets(settings_from(file.settings)),
            [one.name for one in names.services],
            [one.name for one in names.tenants],
            names.areas,
            names.shapes,
            names.stats.fields,
            parse_address(mgmt) if mgmt else None,
            inherited_socket(environment),
            raw,
            environment.get("LB_TRACE", ""),
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, SettingsError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


# ---- the front file


class _Function(msgspec.Struct, rename="kebab"):
    job_class: str = msgspec.field(name="class")
    tenant: str = ""
    patience_s: float | None = None
    form: int | None = None  # version of the message form in which its clients speak; none: `clients.gearman`


class _Workers(msgspec.Struct):
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0


class _Gearman(msgspec.Struct):
    listen: list[str] = []
    functions: dict[str, _Function] = {}
    workers: _Workers = msgspec.field(default_factory=_Workers)


class _DnsSd(msgspec.Struct):
    server: str
    service: str


class _Translation(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    file: str  # beside the front file
    interface: Literal[0, 1, 2] = 0  # of planners of which nobody tells it; 0: it is found out
    keepalive_s: float = 10.0
    planners: dict[str, Literal[1, 2]] = {}  # by instance id


class _Placement(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    plan: str  # beside the front file; read at the start and on SIGHUP


class FrontFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """The front file as it is written."""

    gearman: _Gearman = msgspec.field(default_factory=_Gearman)
    dns_sd: _DnsSd | None = None
    translation: _Translation | None = None
    placement: _Placement | None = None


@dataclass(frozen=True)
class Translation:
    """What the translation file says, and where planners' interfaces are known from."""

    file: TranslationFile
    interface: int
    keepalive: float  # s
    planners: dict[str, int]


@dataclass(frozen=True)
class FrontConfig:
    """What the front file asks for; nothing where it gives no addresses."""

    listen: list[tuple[str, int]]
    functions: dict[str, tuple[str, str, float, int | None]]  # class, tenant, patience (ms), form
    workers: _Workers
    dns_server: tuple[str, int] | None
    dns_service: str
    translation: Translation | None = None
    plan: Path | None = None


def _misfit(file: FrontFile, config: Config) -> tuple[tuple[str, ...], str] | None:
    """The first key of the front file that doesn't fit the settings, and why; None where all of them do."""
    table = ("gearman", "functions")
    for name, function in file.gearman.functions.items():
        if function.job_class not in config.classes:
            return (*table, name, "class"), _unknown("class", function.job_class, config.classes)
        if function.tenant and function.tenant not in config.tenants:
            return (*table, name, "tenant"), _unknown("tenant", function.tenant, config.tenants)
        if function.patience_s is not None and not 0 < function.patience_s < math.inf:
            return (*table, name, "patience-s"), f"{function.patience_s} is not a time above 0"
    workers = file.gearman.workers
    for key, value, known in (("zone", workers.zone, config.zones), ("kind", workers.kind, config.kinds)):
        if value and value not in known:
            return ("gearman", "workers", key), _unknown(key, value, known)
    if file.gearman.listen and not file.gearman.functions:
        return ("gearman", "listen"), "gearman listens, but has no functions"
    return None


def _unknown(what: str, name: str, known: list[str]) -> str:
    return f"the settings have no {what} {name!r} ({', '.join(known) or 'none at all'})"


def load_front(path: Path | None, config: Config) -> FrontConfig:
    """Read the front file; ConfigError where it can't be used, with line and key where it doesn't fit the
    settings. Where none is asked for, nothing is on: a file that lies at some place turns nothing on.
    """
    if path is None:
        return FrontConfig([], {}, _Workers(), None, "")
    try:
        text = path.read_text()
        file = msgspec.convert(tomllib.loads(text), FrontFile)
        if misfit := _misfit(file, config):
            keys, why = misfit
            raise ConfigError(f"{path}:{line_at(text, *keys)}: {'.'.join(keys)}: {why}")
        return FrontConfig(
            [parse_address(text) for text in file.gearman.listen],
            {
                name: (
                    one.job_class,
                    one.tenant,
                    math.inf if one.patience_s is None else one.patience_s * 1000,
                    one.form,
                )
                for name, one in file.gearman.functions.items()
            },
            file.gearman.workers,
            parse_address(file.dns_sd.server) if file.dns_sd else None,
            file.dns_sd.service if file.dns_sd else "",
            _translation(path, file, config.classes),
            path.parent / file.placement.plan if file.placement else None,
        )
    except ConfigError:
        raise
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _translation(path: Path, file: FrontFile, classes: list[str]) -> Translation | None:
    """The translation file that the front file names. Imported where it is asked for: `run` stays small."""
    asked = file.translation
    if asked is None:
        return None
    if not 0 < asked.keepalive_s < math.inf:
        raise ConfigError(f"{path}: translation: keepalive-s = {asked.keepalive_s}")
    try:
        import google.protobuf  # noqa: F401 - is the extra there?
        import h2  # noqa: F401
    except ImportError as error:
        raise ConfigError(f"{path}: translation needs the extra `translation`: {error}") from None
    from pipitshed.translation.file import TranslationError, read

    name = path.parent / asked.file
    try:
        forms = read(name.read_text())
    except OSError as error:
        raise ConfigError(f"{name}: {error.strerror}") from None
    except TranslationError as error:
        raise ConfigError("\n".join(f"{name}: {line}" for line in str(error).splitlines())) from None
    versions = [form.version for form in forms.forms]
    for function, one in file.gearman.functions.items():
        if one.form is not None and one.form not in versions:
            raise ConfigError(f"{path}: function {function}: there is no form {one.form}")
    known = {job_class for form in forms.forms for job_class in form.classes}
    for unknown in sorted(known - set(classes)):
        raise ConfigError(f"{name}: the settings have no class {unknown!r}")
    return Translation(forms, asked.interface, asked.keepalive_s, dict(asked.planners))
