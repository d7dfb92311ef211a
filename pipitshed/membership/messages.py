"""What schedulers say to each other about the fleet. The edge frames, bounds and checks them."""

from __future__ import annotations

import msgspec

from pipitshed.membership.members import MemberRecord
from pipitshed.replication.messages import Compare, Items, Rows
from pipitshed.replication.row import Row

GOSSIP_LIMIT_BYTES = 700  # bytes of rumours on one datagram, so that it stays under a network's usual 1,400
FreshRows = tuple[tuple[Row, ...], ...]  # by table


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there? `target` is who is meant: one that hears it under another name doesn't answer. `digests`
    are of the sender's view and then of its tables; empty for one that it has not caught up with.
    """

    number: int
    sender: MemberRecord
    target: str
    gossip: tuple[MemberRecord, ...] = ()
    digests: tuple[bytes, ...] = ()
    rows: FreshRows = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """I am here; also passed on by a helper, for the one that it helped. `digests` as in
    a ping.
    """

    number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()
    digests: tuple[bytes, ...] = ()
    rows: FreshRows = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Probe this one in my place."""

    number: int
    sender: MemberRecord
    target: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """I was asked to help, probed, and have heard nothing so far: the asker's own link is well."""

    number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class RepairMessage(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A part of a repair. Its sender is told where the other may not know it yet."""

    part: Compare | Items | Rows
    sender: MemberRecord | None = None


Message = Ping | Ack | IndirectPing | Nack | RepairMessage
