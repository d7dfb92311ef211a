"""Gearman's packets: twelve bytes of head, then arguments between NUL bytes."""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator

from pipitshed.protocols.buffer import Buffer
from pipitshed.protocols.http import BODY_LIMIT_BYTES

HEAD = struct.Struct(">4sII")
REQUEST, RESPONSE = b"\0REQ", b"\0RES"
PACKET_LIMIT_BYTES = BODY_LIMIT_BYTES + 4096  # a body, and the names before it


class PacketError(ValueError):
    """What has come in is no packet of the protocol."""


class Kind(enum.IntEnum):
    """The packets that are spoken here, by their numbers in the protocol."""

    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    NOOP = 6
    SUBMIT_JOB = 7
    JOB_CREATED = 8
    GRAB_JOB = 9
    NO_JOB = 10
    JOB_ASSIGN = 11
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    ECHO_RES = 17
    SUBMIT_JOB_BG = 18
    ERROR = 19
    STATUS_RES = 20
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    ALL_YOURS = 24
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    OPTION_RES = 27
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    JOB_ASSIGN_UNIQ = 31
    SUBMIT_JOB_HIGH_BG = 32
    SUBMIT_JOB_LOW = 33
    SUBMIT_JOB_LOW_BG = 34
    GRAB_JOB_ALL = 39
    JOB_ASSIGN_ALL = 40
    GET_STATUS_UNIQUE = 41
    STATUS_RES_UNIQUE = 42


# How many arguments a request has; the last one may hold NUL bytes.
ARGUMENTS = {
    Kind.CAN_DO: 1,
    Kind.CANT_DO: 1,
    Kind.RESET_ABILITIES: 0,
    Kind.PRE_SLEEP: 0,
    Kind.GRAB_JOB: 0,
    Kind.SUBMIT_JOB: 3,
    Kind.SUBMIT_JOB_BG: 3,
    Kind.SUBMIT_JOB_HIGH: 3,
    Kind.SUBMIT_JOB_HIGH_BG: 3,
    Kind.SUBMIT_JOB_LOW: 3,
    Kind.SUBMIT_JOB_LOW_BG: 3,
    Kind.WORK_STATUS: 3,
    Kind.WORK_COMPLETE: 2,
    Kind.WORK_FAIL: 1,
    Kind.WORK_EXCEPTION: 2,
    Kind.WORK_DATA: 2,
    Kind.WORK_WARNING: 2,
    Kind.GET_STATUS: 1,
    Kind.GET_STATUS_UNIQUE: 1,
    Kind.ECHO_REQ: 1,
    Kind.SET_CLIENT_ID: 1,
    Kind.CAN_DO_TIMEOUT: 2,
    Kind.ALL_YOURS: 0,
    Kind.OPTION_REQ: 1,
    Kind.GRAB_JOB_UNIQ: 0,
    Kind.GRAB_JOB_ALL: 0,
}


def pack(kind: Kind, *arguments: bytes, magic: bytes = RESPONSE) -> bytes:
    """One packet."""
    body = b"\0".join(arguments)
    return HEAD.pack(magic, kind, len(body)) + body


def split(kind: Kind, body: bytes) -> list[bytes]:
    """A request's arguments; PacketError where there are too few."""
    count = ARGUMENTS[kind]
    if count == 0:
        if body:
            raise PacketError(f"{kind.name} has no arguments")
        return []
    arguments = body.split(b"\0", count - 1)
    if len(arguments) != count:
        raise PacketError(f"{kind.name} has {count} arguments, not {len(arguments)}")
    return arguments


def requests(buffer: Buffer) -> Iterator[tuple[Kind, list[bytes]] | bytes]:
    """The whole requests in the buffer, used up as they are taken: packets, or lines of text."""
    while len(buffer):
        if buffer.peek(1) != b"\0":
            line = buffer.line()
            if line is None:
                return
            yield line
            continue
        if len(buffer) < HEAD.size:
            return
        magic, number, length = HEAD.unpack(buffer.peek(HEAD.size))
        if magic != REQUEST:
            raise PacketError("not a request")
        if length > PACKET_LIMIT_BYTES:
            raise PacketError(f"a packet of {length} bytes is too long")
        if number not in Kind.__members__.values() or Kind(number) not in ARGUMENTS:
            raise PacketError(f"packet type {number} is not known here")
        if len(buffer) < HEAD.size + length:
            return
        buffer.take(HEAD.size)
        kind = Kind(number)
        yield kind, split(kind, buffer.take(length))
