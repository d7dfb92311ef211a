"""The platform's configuration: the file that LB_CONFIG names, and the variables beside it."""

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

DEFAULT_INHERITED_SOCKET = 3  # the first descriptor beyond the standard streams
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
    """The names in the settings, which the decisions know by their places only."""

    services: list[_Named] = []
    tenants: list[_Named] = []
    areas: list[str] = []
    shapes: list[str] = []
    stats: _Stats = msgspec.field(default_factory=_Stats)


class _PlatformFile(msgspec.Struct):
    """The file as it is written."""

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
    """The platform's configuration, typed.

    Attributes:
        cached_list: The endpoint list that the file holds for the start.
        report_fields: The fields of the workers' reports, by the protocol's names.
        admin_address: The address of the admin frontend; None where there is none.
        inherited_descriptor: The descriptor of a listening socket that the process inherits.
        raw: The file as it was read; a file read later is compared with it.
        trace_target: LB_TRACE: where the decision trace goes, `-` for the standard error; empty for none.
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
        ConfigError: The file cannot be read or used.
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
    """Replace the settings by those of another file that has the same names; `raw` stays as it was.

    Raises:
        SettingsError: The settings cannot be used.
    """
    return replace(config, settings=settings_for_sockets(settings_from(settings)))


def settings_for_sockets(settings: Settings) -> Settings:
    """The settings as they hold for a scheduler on sockets.

    Discovery answers only those who call it, so the endpoint list is always polled. Where the settings say
    that it is pushed, a watch is kept open to receive it.
    """
    return replace(settings, endpoints_polled=True, endpoints_pushed=not settings.endpoints_polled)


def read_inherited_descriptor(environment: Mapping[str, str]) -> int | None:
    """The descriptor that `LB_PASSED_SOCKET` names: its number, or the default for any other name."""
    text = environment.get("LB_PASSED_SOCKET", "").strip()
    if not text:
        return None
    return int(text) if text.isdigit() else DEFAULT_INHERITED_SOCKET


def _parse(data: bytes, environment: Mapping[str, str]) -> Config:
    raw = msgspec.json.decode(data)
    if not isinstance(raw, dict):
        raise ValueError("the file holds no object")
    file = msgspec.convert(raw, _PlatformFile)
    names = msgspec.convert(file.settings, _Names)
    listen = parse_address(file.listen or environment.get("LB_LISTEN", ""))
    discovery = file.discovery or environment.get("LB_DISCOVERY", "")
    # The environment comes first: two processes share one file during an upgrade.
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
