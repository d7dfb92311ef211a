"""The file that keeps rows over a restart: written whole, and read only where it is whole."""

from __future__ import annotations

import hashlib
import logging
import os
from pathlib import Path

import msgspec

from pipitshed.replication.row import Row

MARK = b"pipitshed rows 1 "  # before the checksum; another version is left aside
_SUM = 32  # hexadecimal digits

log = logging.getLogger("pipitshed.fleet")


class StoredRows(msgspec.Struct, array_like=True):
    """What the file holds."""

    rows: tuple[Row, ...] = ()
    stood: tuple[Row, ...] = ()  # acted on in place of a row that was refused


def read(path: Path) -> StoredRows:
    """What the last write left. A file that is damaged is logged and moved aside, so that the next write does
    not take it away; nothing is read from it.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return StoredRows()
    except OSError as error:
        log.error("rows are not read: %s: %s", path, error.strerror)
        return StoredRows()
    head, _, body = data.partition(b"\n")
    try:
        if head != MARK + _sum(body):
            raise ValueError("it is not whole, or of another version")
        return msgspec.json.decode(body, type=StoredRows)
    except ValueError as error:
        aside = path.with_name(path.name + ".damaged")
        log.error("rows are not read: %s: %s; it is left aside as %s", path, error, aside.name)
        try:
            os.replace(path, aside)
        except OSError as failed:
            log.error("%s can't be moved aside: %s", path, failed.strerror)
        return StoredRows()


def write(path: Path, kept: StoredRows) -> None:
    """Put this in the place of what is there, whole or not at all; OSError where it can't be."""
    body = msgspec.json.encode(kept)
    part = path.with_name(path.name + ".part")
    with part.open("wb") as out:
        out.write(MARK + _sum(body) + b"\n" + body)
        out.flush()
        os.fsync(out.fileno())
    os.replace(part, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # so that the name too is there after the machine has stopped
    finally:
        os.close(folder)


def _sum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=_SUM // 2).hexdigest().encode()
