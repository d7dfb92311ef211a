"""Messages of the membership protocol. The transport frames and authenticates them, and limits their size."""

from __future__ import annotations

import msgspec

from pipitshed.membership.members import MemberRecord
from pipitshed.replication.messages import Compare, FetchRequest, Rows
from pipitshed.replication.row import Row

GOSSIP_LIMIT_BYTES = 700  # per datagram, which is limited to 1,400 bytes in all
FreshRows = tuple[tuple[Row, ...], ...]  # rows by table


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A probe. A member whose name is not `target` does not answer it."""

    number: int
    sender: MemberRecord
    target: str
    gossip: tuple[MemberRecord, ...] = ()
    digests: tuple[bytes, ...] = ()  # of the view, then of each table; empty if not caught up yet
    rows: FreshRows = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ping; a helper forwards it to the member that asked for an indirect ping."""

    number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()
    digests: tuple[bytes, ...] = ()  # of the view, then of each table; empty if not caught up yet
    rows: FreshRows = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A request to probe the target on behalf of the sender."""

    number: int
    sender: MemberRecord
    target: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A helper's report that its ping has no ack so far; it shows the requester that its own link works."""

    number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class RepairMessage(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A message of anti-entropy, with the sender's record if the receiver may not know the sender."""

    part: Compare | FetchRequest | Rows
    sender: MemberRecord | None = None


Message = Ping | Ack | IndirectPing | Nack | RepairMessage
