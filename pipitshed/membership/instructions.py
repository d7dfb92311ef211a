"""What a scheduler's protocol wants done, and what it tells."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import Message
from pipitshed.replication.row import Row


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class MemberStateChanged:
    """A member's state has changed in this view, from what was held before (None: it was unknown)."""

    record: MemberRecord
    previous_state: MemberState | None


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process holds this one's name, and came later."""

    by: MemberRecord


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """These rows of a table are new here: told by a peer, or put here."""

    table: str
    rows: tuple[Row, ...]


Instruction = SendMessage | MemberStateChanged | Superseded | RowsChanged
