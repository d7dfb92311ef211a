"""Reads the file of `serve --fleet`: this scheduler's name, addresses, seeds and secret."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pipitshed.membership.members import NAME_LIMIT_BYTES, Address
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.protocols.address import parse_address
from pipitshed.protocols.toml import line_of_key

SECRET_LIMIT_BYTES = 64  # the longest key that the checksum (BLAKE2b) accepts
_KEY_PATH = re.compile(r" - at `\$\.?([^`]*)`")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")


class ClusterConfigError(ValueError):
    """The file cannot be used; the text gives the reason in one line."""


class InvalidKeyError(ClusterConfigError):
    """One key of the file has a value that cannot be used.

    Attributes:
        keys: The path of the key; empty if the error concerns the whole file.
    """

    def __init__(self, path: Path, text: str, keys: tuple[str, ...], reason: str) -> None:
        self.keys = keys
        self.reason = reason
        self.line = line_of_key(text, *keys) if keys else 1
        super().__init__(f"{path}:{self.line}: {'.'.join(keys) or 'the file'}: {reason}")


class ClusterFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """The TOML file as operators write it."""

    name: str  # unique among the schedulers of the fleet; the same after a restart
    listen: str  # HOST:PORT of the datagram socket and of the stream socket
    zone: str = ""
    advertise: str = ""  # the HOST:PORT that peers use, if it differs from `listen`
    cluster: str = "pipitshed"  # sent in every message; messages of other clusters are dropped
    secret_file: str = ""  # relative to this file; its first line keys the checksums, against forged messages
    seeds: list[str] = []  # peer addresses through which this scheduler joins
    region: str = ""  # default: the zone's part before the first slash; few messages cross regions
    rows_file: str = ""  # relative to this file; the program stores the settings rows in it
    event_log: str = ""  # relative to this file; JSON lines of cluster events; needs the extra `fleet`
    scales: ProtocolTimings = msgspec.field(default_factory=ProtocolTimings)


@dataclass(frozen=True)
class ClusterConfig:
    """The values of the file, with addresses parsed and paths resolved."""

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
    """Read and validate the file.

    Raises:
        ClusterConfigError: The file cannot be read or used; the text names the line and the key.
    """
    try:
        text = path.read_text()
        file = msgspec.convert(tomllib.loads(text), ClusterFile)
    except OSError as error:
        raise ClusterConfigError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        invalid = _invalid_key_of(error)
        raise InvalidKeyError(path, text, invalid.keys, invalid.reason) from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ClusterConfigError(f"{path}: {error}") from None
    if first_invalid := next(_invalid_keys(file), None):
        raise InvalidKeyError(path, text, first_invalid.keys, first_invalid.reason)
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
    """Return the secret in the content of a secret file: its first line without surrounding whitespace."""
    return data.split(b"\n")[0].strip()


def _read_secret(path: Path, text: str, secret_file: str) -> bytes:
    keys = ("secret-file",)
    try:
        secret = secret_from((path.parent / secret_file).read_bytes())
    except OSError as error:
        raise InvalidKeyError(path, text, keys, str(error.strerror)) from None
    if not 0 < len(secret) <= SECRET_LIMIT_BYTES:
        reason = f"the first line has {len(secret)} bytes, not 1 to {SECRET_LIMIT_BYTES}"
        raise InvalidKeyError(path, text, keys, reason)
    return secret


@dataclass(frozen=True, slots=True)
class _InvalidKey:
    """A key whose value cannot be used."""

    keys: tuple[str, ...]
    reason: str


def _invalid_key_of(error: msgspec.ValidationError) -> _InvalidKey:
    """Return the key that a validation error names, and the error's text without the key."""
    message = str(error)
    found = _KEY_PATH.search(message)
    parts = re.split(r"\.|\[", found[1]) if found and found[1] else []
    keys = tuple(part.rstrip("]") for part in parts if not part.startswith("...") and not part[:1].isdigit())
    if unknown := _UNKNOWN_FIELD.search(message):
        keys = (*keys, unknown[1])
    return _InvalidKey(keys, _KEY_PATH.sub("", message))


def _invalid_keys(file: ClusterFile) -> Iterator[_InvalidKey]:
    """Yield the keys whose values cannot be used."""
    for key, name, required in (
        ("name", file.name, True),
        ("zone", file.zone, False),
        ("region", file.region, False),
        ("cluster", file.cluster, True),
    ):
        if required and not name:
            yield _InvalidKey((key,), "must not be empty")
        if len(name.encode()) > NAME_LIMIT_BYTES:
            yield _InvalidKey((key,), f"longer than {NAME_LIMIT_BYTES} bytes")
    yield from _invalid_addresses(file)
    if (scales_fault := file.scales.find_invalid_field()) is not None:
        yield _InvalidKey(("scales", scales_fault[0]), scales_fault[1])


def _invalid_addresses(file: ClusterFile) -> Iterator[_InvalidKey]:
    addresses = [("listen", file.listen)]
    if file.advertise:
        addresses.append(("advertise", file.advertise))
    addresses += [("seeds", seed) for seed in file.seeds]
    for key, address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            yield _InvalidKey((key,), str(error))
