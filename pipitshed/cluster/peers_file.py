"""The operators' file of `serve --fleet`: who this scheduler is among its peers, and where it finds them."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pipitshed.membership.members import NAME_LIMIT, Address
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.protocols.address import parse_address
from pipitshed.protocols.toml import line_at

SECRET_LIMIT = 64  # bytes of the secret, which the checksum takes as its key
_PLACE = re.compile(r" - at `\$\.?([^`]*)`")
_UNKNOWN = re.compile(r"unknown field `([^`]+)`")


class ClusterConfigError(ValueError):
    """The file can't be used; the text says why in one line."""


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
    scales: ProtocolTimings
    region: str = ""
    rows_file: Path | None = None


def read(path: Path) -> ClusterConfig:
    """Read the file; PeersError with line and key where it can't be used."""
    try:
        text = path.read_text()
        file = msgspec.convert(tomllib.loads(text), ClusterFile)
    except OSError as error:
        raise ClusterConfigError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        keys, why = _place(str(error))
        raise ClusterConfigError(
            f"{path}:{line_at(text, *keys) if keys else 1}: {'.'.join(keys) or 'the file'}: {why}"
        ) from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ClusterConfigError(f"{path}: {error}") from None
    if fault := _fault(file):
        keys, why = fault
        raise ClusterConfigError(f"{path}:{line_at(text, *keys)}: {'.'.join(keys)}: {why}")
    secret = b""
    if file.secret_file:
        here = f"{path}:{line_at(text, 'secret-file')}: secret-file"
        try:
            secret = (path.parent / file.secret_file).read_bytes().split(b"\n")[0].strip()
        except OSError as error:
            raise ClusterConfigError(f"{here}: {error.strerror}") from None
        if not 0 < len(secret) <= SECRET_LIMIT:
            raise ClusterConfigError(
                f"{here}: its first line has {len(secret)} bytes, not 1 to {SECRET_LIMIT}"
            )
    return ClusterConfig(
        file.name,
        file.zone,
        parse_address(file.listen),
        parse_address(file.advertise) if file.advertise else None,
        file.cluster,
        secret,
        [parse_address(seed) for seed in file.seeds],
        path.parent / file.event_log if file.event_log else None,
        file.scales,
        file.region,
        path.parent / file.rows_file if file.rows_file else None,
    )


def _place(told: str) -> tuple[tuple[str, ...], str]:
    """The keys that a message of the library names, and its text without them."""
    found = _PLACE.search(told)
    keys = tuple(re.split(r"\.|\[", found[1])) if found and found[1] else ()
    keys = tuple(key.rstrip("]") for key in keys if not key.startswith("...") and not key[:1].isdigit())
    if unknown := _UNKNOWN.search(told):
        keys = (*keys, unknown[1])
    return keys, _PLACE.sub("", told)


def _fault(file: ClusterFile) -> tuple[tuple[str, ...], str] | None:
    """The first key that can't be, and why."""
    for key, value, needed in (
        ("name", file.name, True),
        ("zone", file.zone, False),
        ("region", file.region, False),
        ("cluster", file.cluster, True),
    ):
        if needed and not value:
            return (key,), "it is empty"
        if len(value.encode()) > NAME_LIMIT:
            return (key,), f"over {NAME_LIMIT} bytes"
    told = [("listen", file.listen), ("advertise", file.advertise), *(("seeds", seed) for seed in file.seeds)]
    for key, value in told:
        if key == "advertise" and not value:
            continue
        try:
            parse_address(value)
        except ValueError as error:
            return (key,), str(error)
    if (fault := file.scales.fault()) is not None:
        return ("scales", fault[0]), fault[1]
    return None
