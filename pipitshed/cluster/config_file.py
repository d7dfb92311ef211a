"""The operators' file of `serve --fleet`: who this scheduler is among its peers, and where it finds them."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pipitshed.membership.members import NAME_LIMIT, Address
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.protocols.address import parse_address
from pipitshed.protocols.toml import line_at

SECRET_LIMIT_BYTES = 64  # the checksum takes the secret as its key, which can be no longer
_KEY_PATH = re.compile(r" - at `\$\.?([^`]*)`")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")


class ClusterConfigError(ValueError):
    """The file cannot be used; the text says why in one line."""


class InvalidKeyError(ClusterConfigError):
    """One key of the file cannot be used.

    Attributes:
        keys: The path of the key; empty where the whole file is meant.
    """

    def __init__(self, path: Path, text: str, keys: tuple[str, ...], reason: str) -> None:
        self.keys = keys
        self.reason = reason
        self.line = line_at(text, *keys) if keys else 1
        super().__init__(f"{path}:{self.line}: {'.'.join(keys) or 'the file'}: {reason}")


class ClusterFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """The file as it is written."""

    name: str  # one that no other scheduler of the fleet has; the same after a restart
    listen: str  # the peer address: datagrams and streams
    zone: str = ""
    advertise: str = ""  # where peers reach it, where that is not `listen`
    cluster: str = "pipitshed"  # in every message; others are dropped
    secret_file: str = ""  # beside this file: its first line keys every checksum, so that nobody can forge
    seeds: list[str] = []  # peer addresses to join by
    region: str = ""  # where it stands, beside the zone: few messages cross to another
    rows_file: str = ""  # beside this file: keeps settings by row over a restart; written by the program
    event_log: str = ""  # beside this file: JSON lines of what this view saw; needs the extra `fleet`
    scales: ProtocolTimings = msgspec.field(default_factory=ProtocolTimings)


@dataclass(frozen=True)
class ClusterConfig:
    """What the file asks for."""

    name: str
    zone: str
    listen: Address
    advertise: Address | None
    cluster: str
    secret: bytes
    seeds: list[Address]
    event_log: Path | None
    timings: ProtocolTimings
    region: str = ""
    rows_file: Path | None = None


def read(path: Path) -> ClusterConfig:
    """Read the file.

    Raises:
        ClusterConfigError: The file cannot be read or used; the text has the line and the key.
    """
    try:
        text = path.read_text()
        file = msgspec.convert(tomllib.loads(text), ClusterFile)
    except OSError as error:
        raise ClusterConfigError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        fault = _fault_of(error)
        raise InvalidKeyError(path, text, fault.keys, fault.reason) from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ClusterConfigError(f"{path}: {error}") from None
    if first_fault := next(_faults(file), None):
        raise InvalidKeyError(path, text, first_fault.keys, first_fault.reason)
    return ClusterConfig(
        name=file.name,
        zone=file.zone,
        listen=parse_address(file.listen),
        advertise=parse_address(file.advertise) if file.advertise else None,
        cluster=file.cluster,
        secret=_read_secret(path, text, file.secret_file) if file.secret_file else b"",
        seeds=[parse_address(seed) for seed in file.seeds],
        event_log=path.parent / file.event_log if file.event_log else None,
        timings=file.scales,
        region=file.region,
        rows_file=path.parent / file.rows_file if file.rows_file else None,
    )


def secret_from(data: bytes) -> bytes:
    """The secret in the data of a secret file."""
    return data.split(b"\n")[0].strip()


def _read_secret(path: Path, text: str, secret_file: str) -> bytes:
    keys = ("secret-file",)
    try:
        secret = secret_from((path.parent / secret_file).read_bytes())
    except OSError as error:
        raise InvalidKeyError(path, text, keys, str(error.strerror)) from None
    if not 0 < len(secret) <= SECRET_LIMIT_BYTES:
        reason = f"its first line has {len(secret)} bytes, not 1 to {SECRET_LIMIT_BYTES}"
        raise InvalidKeyError(path, text, keys, reason)
    return secret


@dataclass(frozen=True, slots=True)
class _Fault:
    """A key that cannot be used."""

    keys: tuple[str, ...]
    reason: str


def _fault_of(error: msgspec.ValidationError) -> _Fault:
    """The key that an error of the library names, and its text without the key."""
    message = str(error)
    found = _KEY_PATH.search(message)
    parts = re.split(r"\.|\[", found[1]) if found and found[1] else []
    keys = tuple(part.rstrip("]") for part in parts if not part.startswith("...") and not part[:1].isdigit())
    if unknown := _UNKNOWN_FIELD.search(message):
        keys = (*keys, unknown[1])
    return _Fault(keys, _KEY_PATH.sub("", message))


def _faults(file: ClusterFile) -> Iterator[_Fault]:
    """The keys that cannot be used."""
    for key, name, required in (
        ("name", file.name, True),
        ("zone", file.zone, False),
        ("region", file.region, False),
        ("cluster", file.cluster, True),
    ):
        if required and not name:
            yield _Fault((key,), "it is empty")
        if len(name.encode()) > NAME_LIMIT:
            yield _Fault((key,), f"over {NAME_LIMIT} bytes")
    yield from _address_faults(file)
    if (fault := file.scales.fault()) is not None:
        yield _Fault(("scales", fault[0]), fault[1])


def _address_faults(file: ClusterFile) -> Iterator[_Fault]:
    addresses = [("listen", file.listen)]
    if file.advertise:
        addresses.append(("advertise", file.advertise))
    addresses += [("seeds", seed) for seed in file.seeds]
    for key, address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            yield _Fault((key,), str(error))
