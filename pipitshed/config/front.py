"""The front file, which enables Gearman, DNS-SD, translation and placement; without it all four are off."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from pipitshed.config.errors import ConfigError, FrontFileError
from pipitshed.config.platform import Config
from pipitshed.protocols.address import parse_address
from pipitshed.protocols.toml import line_of_key

if TYPE_CHECKING:
    from pipitshed.translation.file import TranslationFile

MS_PER_S = 1000


class _Function(msgspec.Struct, rename="kebab"):
    job_class: str = msgspec.field(name="class")
    tenant: str = ""
    patience_s: float | None = None
    form: int | None = None  # version of its clients' message form; `clients.gearman` where missing


class _Workers(msgspec.Struct):
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, msgspec.Meta(ge=0)] | None = None  # not known where missing
    weight: float = 1.0


class _Gearman(msgspec.Struct):
    listen: list[str] = []
    functions: dict[str, _Function] = {}
    workers: _Workers = msgspec.field(default_factory=_Workers)


class _DnsSd(msgspec.Struct):
    server: str
    service: str


class _Translation(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    file: str  # path relative to the front file
    interface: Literal[0, 1, 2] = 0  # of workers for which no source gives it; 0: it is detected
    keepalive_s: float = 10.0
    planners: dict[str, Literal[1, 2]] = {}  # interface by instance id


class _Placement(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    plan: str  # path relative to the front file; read at the start and on SIGHUP


class FrontFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """The contents of the front file."""

    gearman: _Gearman = msgspec.field(default_factory=_Gearman)
    dns_sd: _DnsSd | None = None
    translation: _Translation | None = None
    placement: _Placement | None = None


@dataclass(frozen=True, slots=True)
class FunctionConfig:
    """The class, tenant, timeout and message form with which the jobs of a Gearman function are submitted.

    Attributes:
        client_timeout_ms: How long its clients wait; infinite where the file has no `patience-s`.
        form_version: The version of its clients' message form; None for that of all Gearman clients.
    """

    job_class: str
    tenant: str
    client_timeout_ms: float
    form_version: int | None


@dataclass(frozen=True)
class Translation:
    """The translation file, and the configured interfaces of workers.

    Attributes:
        default_interface: The interface of workers that `interface_by_instance` lacks; 0: it is detected.
        interface_by_instance: The interface, 1 or 2, by instance id.
    """

    file: TranslationFile
    default_interface: int
    keepalive_s: float
    interface_by_instance: dict[str, int]


@dataclass(frozen=True)
class FrontConfig:
    """The checked contents of the front file.

    Attributes:
        gearman_addresses: The addresses of the Gearman frontend; the frontend is off where there are none.
        gearman_functions: Gearman functions by name.
    """

    gearman_addresses: list[tuple[str, int]]
    gearman_functions: dict[str, FunctionConfig]
    gearman_workers: _Workers
    dns_server: tuple[str, int] | None
    dns_service: str
    translation: Translation | None = None
    plan_path: Path | None = None


def load_front(path: Path | None, config: Config) -> FrontConfig:
    """Read the front file.

    Without a path all parts are off; no file is read from a default location.

    Raises:
        ConfigError: The file cannot be read or parsed, or does not match the settings.
    """
    if path is None:
        return FrontConfig([], {}, _Workers(), None, "")
    try:
        return _parse(path, path.read_text(), config)
    except ConfigError:
        raise
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse(path: Path, text: str, config: Config) -> FrontConfig:
    file = msgspec.convert(tomllib.loads(text), FrontFile)
    if mismatch := _find_mismatch(file, config):
        line = line_of_key(text, *mismatch.keys)
        raise FrontFileError(path, line, mismatch.keys, mismatch.reason)
    return FrontConfig(
        gearman_addresses=[parse_address(address) for address in file.gearman.listen],
        gearman_functions={name: _function_config(entry) for name, entry in file.gearman.functions.items()},
        gearman_workers=file.gearman.workers,
        dns_server=parse_address(file.dns_sd.server) if file.dns_sd else None,
        dns_service=file.dns_sd.service if file.dns_sd else "",
        translation=_load_translation(path, file, config.classes),
        plan_path=path.parent / file.placement.plan if file.placement else None,
    )


def _function_config(entry: _Function) -> FunctionConfig:
    timeout_ms = math.inf if entry.patience_s is None else entry.patience_s * MS_PER_S
    return FunctionConfig(entry.job_class, entry.tenant, timeout_ms, entry.form)


@dataclass(frozen=True, slots=True)
class _Mismatch:
    """A key of the front file that does not match the settings."""

    keys: tuple[str, ...]
    reason: str


def _find_mismatch(file: FrontFile, config: Config) -> _Mismatch | None:
    """Return the first key of the front file that does not match the settings; None where all match."""
    for name, function in file.gearman.functions.items():
        if mismatch := _function_mismatch(name, function, config):
            return mismatch
    workers = file.gearman.workers
    for key, value, known in (("zone", workers.zone, config.zones), ("kind", workers.kind, config.kinds)):
        if value and value not in known:
            return _Mismatch(("gearman", "workers", key), _unknown(key, value, known))
    if file.gearman.listen and not file.gearman.functions:
        return _Mismatch(
            ("gearman", "listen"), "listening for Gearman needs at least one entry in gearman.functions"
        )
    return None


def _function_mismatch(name: str, function: _Function, config: Config) -> _Mismatch | None:
    keys = ("gearman", "functions", name)
    if function.job_class not in config.classes:
        return _Mismatch((*keys, "class"), _unknown("class", function.job_class, config.classes))
    if function.tenant and function.tenant not in config.tenants:
        return _Mismatch((*keys, "tenant"), _unknown("tenant", function.tenant, config.tenants))
    if function.patience_s is not None and not 0 < function.patience_s < math.inf:
        return _Mismatch((*keys, "patience-s"), f"{function.patience_s} is not a finite time above 0 s")
    return None


def _unknown(kind: str, name: str, known: list[str]) -> str:
    return f"the settings have no {kind} {name!r}; known: {', '.join(known) or 'none at all'}"


def _load_translation(path: Path, file: FrontFile, classes: list[str]) -> Translation | None:
    """Read the translation file that the front file names, and import the libraries that it needs."""
    table = file.translation
    if table is None:
        return None
    if not 0 < table.keepalive_s < math.inf:
        raise ConfigError(
            f"{path}: translation: keepalive-s = {table.keepalive_s} is not a finite time above 0 s"
        )
    try:
        import google.protobuf  # noqa: F401 - checks that the extra is installed
        import h2  # noqa: F401
    except ImportError as error:
        raise ConfigError(
            f"{path}: translation needs the extra `translation` of pipitshed: {error}"
        ) from None
    translation_path = path.parent / table.file
    forms = _read_translation_file(translation_path)
    versions = [form.version for form in forms.forms]
    for name, function in file.gearman.functions.items():
        if function.form is not None and function.form not in versions:
            raise ConfigError(f"{path}: function {name}: the translation file has no form {function.form}")
    translated_classes = {job_class for form in forms.forms for job_class in form.classes}
    for unknown in sorted(translated_classes - set(classes)):
        raise ConfigError(f"{translation_path}: the settings have no class {unknown!r}")
    return Translation(forms, table.interface, table.keepalive_s, dict(table.planners))


def _read_translation_file(path: Path) -> TranslationFile:
    from pipitshed.translation.file import TranslationError, read

    try:
        return read(path.read_text())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except TranslationError as error:
        raise ConfigError("\n".join(f"{path}: {line}" for line in str(error).splitlines())) from None
