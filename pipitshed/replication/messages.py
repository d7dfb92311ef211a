"""What a repair says. The edge frames, bounds and checks it; each fits a datagram."""

from __future__ import annotations

import msgspec

from pipitshed.replication.row import Row

ROOM = 1200  # bytes of one message, so that it fits a datagram of 1,400 with the frame and a sender's word
Range = tuple[int, int, int]  # number, sum of the hashes, how many items


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """What the sender holds in these ranges. In an answer stand those that differ, or their parts where they
    are big."""

    table: int  # its place among the tables
    ranges: tuple[Range, ...]
    answer: bool  # wanted


class Items(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """All that the sender holds in these ranges, by marks under a salt: tell it what it lacks."""

    table: int
    ranges: tuple[int, ...]
    salt: int
    marks: bytes


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Rows that the other lacked; in answer to `Items` for its ranges."""

    table: int
    rows: tuple[Row, ...]
    ranges: tuple[int, ...] = ()
    salt: int = 0  # as in the question
    wants: bytes = b""  # marks of what the sender lacks
    whole: bool = True  # whether this is all that was to be told of them
