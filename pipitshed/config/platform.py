"""The platform's configuration: the file that LB_CONFIG names, and other LB_ environment variables."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from pipitshed.config.errors import ConfigError
from pipitshed.config.settings_parser import settings_from
from pipitshed.discovery.catalog import CatalogUpdate
from pipitshed.protocols.address import parse_address
from pipitshed.scheduling.settings import Settings

DEFAULT_INHERITED_SOCKET = 3  # the first file descriptor after the standard streams
SEED_BASE = 16


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _Named(msgspec.Struct):
    name: str = ""


class _Stats(msgspec.Struct):
    fields: list[str] = []


class _Names(msgspec.Struct):
    """The names in the settings; the scheduling code refers to them by index."""

    services: list[_Named] = []
    tenants: list[_Named] = []
    areas: list[str] = []
    shapes: list[str] = []
    stats: _Stats = msgspec.field(default_factory=_Stats)


class _PlatformFile(msgspec.Struct):
    """The contents of the file."""

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
    """The checked configuration of the platform.

    Attributes:
        cached_list: The endpoint list of the file, with which the process starts.
        report_fields: The fields of workers' load reports, by their names in the protocol.
        admin_address: The address of the admin frontend; None where there is none.
        inherited_descriptor: The descriptor of a listening socket that the process inherits.
        raw: The file as it was read, for comparison with a file that is read later.
        trace_target: LB_TRACE, the path of the decision trace; `-` for standard error, empty for no trace.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    descriptor_limit: int
    memory_mb: float
    cached_list: CatalogUpdate | None
    settings: Settings
    classes: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]
    report_fields: list[str]
    admin_address: tuple[str, int] | None = None
    inherited_descriptor: int | None = None
    raw: dict[str, Any] | None = None
    trace_target: str = ""


def load_platform_config(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that LB_CONFIG names.

    Raises:
        ConfigError: LB_CONFIG is not set, or the file cannot be read or parsed.
    """
    path = environment.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        return _parse(Path(path).read_bytes(), environment)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def with_settings(config: Config, settings: dict[str, Any]) -> Config:
    """Return the configuration with other settings, which must have the same names; `raw` is kept.

    Raises:
        SettingsError: The settings are invalid.
    """
    return replace(config, settings=settings_for_sockets(settings_from(settings)))


def settings_for_sockets(settings: Settings) -> Settings:
    """The settings with discovery set as a scheduler on sockets needs it.

    Discovery only answers calls, so the endpoint list is always polled. Where the settings say that the list
    is pushed, the scheduler keeps a watch open to receive it.
    """
    return replace(settings, endpoints_polled=True, endpoints_pushed=not settings.endpoints_polled)


def read_inherited_descriptor(environment: Mapping[str, str]) -> int | None:
    """The descriptor in `LB_PASSED_SOCKET`: its number, or the default where the value is no number."""
    text = environment.get("LB_PASSED_SOCKET", "").strip()
    if not text:
        return None
    return int(text) if text.isdigit() else DEFAULT_INHERITED_SOCKET


def _parse(data: bytes, environment: Mapping[str, str]) -> Config:
    raw = msgspec.json.decode(data)
    if not isinstance(raw, dict):
        raise ValueError("the file does not hold a JSON object")
    file = msgspec.convert(raw, _PlatformFile)
    names = msgspec.convert(file.settings, _Names)
    listen = parse_address(file.listen or environment.get("LB_LISTEN", ""))
    discovery = file.discovery or environment.get("LB_DISCOVERY", "")
    # The environment overrides the file, because two processes share one file during an upgrade.
    admin_address = environment.get("LB_MGMT", "") or file.mgmt
    return Config(
        name=file.name or environment.get("LB_NAME", ""),
        listen=listen,
        discovery=parse_address(discovery) if discovery else None,
        seed=int(file.seed, SEED_BASE),
        descriptor_limit=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        cached_list=file.known,
        settings=settings_for_sockets(settings_from(file.settings)),
        classes=[service.name for service in names.services],
        tenants=[tenant.name for tenant in names.tenants],
        zones=names.areas,
        kinds=names.shapes,
        report_fields=names.stats.fields,
        admin_address=parse_address(admin_address) if admin_address else None,
        inherited_descriptor=read_inherited_descriptor(environment),
        raw=raw,
        trace_target=environment.get("LB_TRACE", ""),
    )
