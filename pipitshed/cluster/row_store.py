"""The file that stores settings rows over a restart: replaced as a whole, and read only if undamaged."""

from __future__ import annotations

import hashlib
import logging
import os
from pathlib import Path

import msgspec

from pipitshed.replication.row import Row

FILE_MAGIC = b"pipitshed rows 1 "  # before the checksum; a file of another version is moved aside
CHECKSUM_BYTES = 16
DAMAGED_SUFFIX = ".damaged"
PARTIAL_SUFFIX = ".part"

log = logging.getLogger("pipitshed.fleet")


class StoredRows(msgspec.Struct, array_like=True):
    """The content of the file."""

    rows: tuple[Row, ...] = ()
    previously_applied: tuple[Row, ...] = ()  # still applied because the newer row of the key was rejected


def read(path: Path) -> StoredRows:
    """Return the rows that were stored last; none if there is no file.

    A damaged file is logged and moved aside, so that the next write does not replace it.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return StoredRows()
    except OSError as error:
        log.error("settings rows not read: %s: %s", path, error.strerror)
        return StoredRows()
    try:
        return _decode(data)
    except ValueError as error:
        _move_aside(path, error)
        return StoredRows()


def write(path: Path, stored: StoredRows) -> None:
    """Replace the file atomically.

    Raises:
        OSError: The file cannot be written.
    """
    body = msgspec.json.encode(stored)
    partial = path.with_name(path.name + PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        file.write(FILE_MAGIC + _checksum(body) + b"\n" + body)
        file.flush()
        os.fsync(file.fileno())
    os.replace(partial, path)
    _sync_folder(path.parent)


def _decode(data: bytes) -> StoredRows:
    head, _, body = data.partition(b"\n")
    if head != FILE_MAGIC + _checksum(body):
        raise ValueError("damaged, or of another version")
    return msgspec.json.decode(body, type=StoredRows)


def _move_aside(path: Path, reason: ValueError) -> None:
    aside = path.with_name(path.name + DAMAGED_SUFFIX)
    log.error("settings rows not read: %s: %s; the file is moved aside as %s", path, reason, aside.name)
    try:
        os.replace(path, aside)
    except OSError as error:
        log.error("cannot move %s: %s", path, error.strerror)


def _sync_folder(path: Path) -> None:
    """Sync the folder: without this the renaming of a file may be lost when the machine stops."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _checksum(body: bytes) -> bytes:
    """Return the checksum in hexadecimal digits."""
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()
