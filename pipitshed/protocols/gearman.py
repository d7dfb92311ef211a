"""Gearman packets: a header of 12 bytes, then arguments separated by NUL bytes."""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator

from pipitshed.protocols.buffer import Buffer
from pipitshed.protocols.http import BODY_LIMIT_BYTES

PACKET_HEADER = struct.Struct(">4sII")  # magic, packet type, length of the arguments
REQUEST_MAGIC, RESPONSE_MAGIC = b"\0REQ", b"\0RES"
PACKET_LIMIT_BYTES = BODY_LIMIT_BYTES + 4096  # a job body, and the arguments before it


class PacketError(ValueError):
    """The received bytes are not a valid packet."""


class PacketType(enum.IntEnum):
    """The supported packet types, by their numbers in the protocol."""

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


# The number of arguments of each request; the last argument may contain NUL bytes.
ARGUMENT_COUNTS = {
    PacketType.CAN_DO: 1,
    PacketType.CANT_DO: 1,
    PacketType.RESET_ABILITIES: 0,
    PacketType.PRE_SLEEP: 0,
    PacketType.GRAB_JOB: 0,
    PacketType.SUBMIT_JOB: 3,
    PacketType.SUBMIT_JOB_BG: 3,
    PacketType.SUBMIT_JOB_HIGH: 3,
    PacketType.SUBMIT_JOB_HIGH_BG: 3,
    PacketType.SUBMIT_JOB_LOW: 3,
    PacketType.SUBMIT_JOB_LOW_BG: 3,
    PacketType.WORK_STATUS: 3,
    PacketType.WORK_COMPLETE: 2,
    PacketType.WORK_FAIL: 1,
    PacketType.WORK_EXCEPTION: 2,
    PacketType.WORK_DATA: 2,
    PacketType.WORK_WARNING: 2,
    PacketType.GET_STATUS: 1,
    PacketType.GET_STATUS_UNIQUE: 1,
    PacketType.ECHO_REQ: 1,
    PacketType.SET_CLIENT_ID: 1,
    PacketType.CAN_DO_TIMEOUT: 2,
    PacketType.ALL_YOURS: 0,
    PacketType.OPTION_REQ: 1,
    PacketType.GRAB_JOB_UNIQ: 0,
    PacketType.GRAB_JOB_ALL: 0,
}


def encode_packet(kind: PacketType, *arguments: bytes, magic: bytes = RESPONSE_MAGIC) -> bytes:
    """Encode one packet."""
    body = b"\0".join(arguments)
    return PACKET_HEADER.pack(magic, kind, len(body)) + body


def split_arguments(kind: PacketType, body: bytes) -> list[bytes]:
    """Split the arguments of a request; PacketError if their number is wrong."""
    count = ARGUMENT_COUNTS[kind]
    if count == 0:
        if body:
            raise PacketError(f"{kind.name} has no arguments")
        return []
    arguments = body.split(b"\0", count - 1)
    if len(arguments) != count:
        raise PacketError(f"{kind.name} has {count} arguments, not {len(arguments)}")
    return arguments


def missing_bytes(buffer: Buffer) -> int:
    """How much of the incomplete packet at the start of the buffer is still to come, as far as is known."""
    if len(buffer) < PACKET_HEADER.size or buffer.peek(1) != b"\0":
        return 0
    _, _, length = PACKET_HEADER.unpack(buffer.peek(PACKET_HEADER.size))
    return max(0, PACKET_HEADER.size + int(length) - len(buffer))


def peek_kind(buffer: Buffer) -> int:
    """The packet type in the complete header at the start of the buffer."""
    _, number, _ = PACKET_HEADER.unpack(buffer.peek(PACKET_HEADER.size))
    return int(number)


def take_requests(buffer: Buffer) -> Iterator[tuple[PacketType, list[bytes]] | bytes]:
    """Consume the complete requests in the buffer: packets, or lines of text commands."""
    while len(buffer):
        if buffer.peek(1) != b"\0":
            line = buffer.take_line()
            if line is None:
                return
            yield line
            continue
        if len(buffer) < PACKET_HEADER.size:
            return
        magic, number, length = PACKET_HEADER.unpack(buffer.peek(PACKET_HEADER.size))
        if magic != REQUEST_MAGIC:
            raise PacketError("not a request")
        if length > PACKET_LIMIT_BYTES:
            raise PacketError(f"a packet of {length} bytes is too long")
        if number not in PacketType.__members__.values() or PacketType(number) not in ARGUMENT_COUNTS:
            raise PacketError(f"packet type {number} is not known here")
        if len(buffer) < PACKET_HEADER.size + length:
            return
        buffer.take(PACKET_HEADER.size)
        kind = PacketType(number)
        yield kind, split_arguments(kind, buffer.take(length))
