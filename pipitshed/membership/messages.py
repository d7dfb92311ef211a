"""Messages of the membership protocol. The transport frames, bounds and authenticates them."""

from __future__ import annotations

import msgspec

from pipitshed.membership.members import MemberRecord
from pipitshed.replication.messages import Compare, FetchRequest, Rows
from pipitshed.replication.row import Row

GOSSIP_LIMIT_BYTES = 700  # of gossip in one datagram, which stays under the usual 1,400 bytes
FreshRows = tuple[tuple[Row, ...], ...]  # by table


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A probe. A member whose name is not `target` doesn't answer."""

    number: int
    sender: MemberRecord
    target: str
    gossip: tuple[MemberRecord, ...] = ()
    digests: tuple[bytes, ...] = ()  # of the view and then the tables; empty for one that has not caught up
    rows: FreshRows = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ping; also forwarded to the member that asked for an indirect ping."""

    number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()
    digests: tuple[bytes, ...] = ()  # of the view and then the tables; empty for one that has not caught up
    rows: FreshRows = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A request to probe this target in the sender's place."""

    number: int
    sender: MemberRecord
    target: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """No ack to an indirect ping so far. It shows its requester that the requester's own link works."""

    number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class RepairMessage(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A message of anti-entropy, with its sender's record where the receiver may not know it yet."""

    part: Compare | FetchRequest | Rows
    sender: MemberRecord | None = None


Message = Ping | Ack | IndirectPing | Nack | RepairMessage
