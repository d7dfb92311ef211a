"""What the protocol instructs its user to do, and the changes that it announces."""

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
    """A member's state has changed in this view; `previous_state` is None for one that was unknown."""

    record: MemberRecord
    previous_state: MemberState | None


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process has this member's name, and started later."""

    by: MemberRecord


@dataclass(frozen=True, slots=True)
class Reinstated:
    """The process that had this member's name is gone, so that the name is this member's again."""

    after: MemberRecord


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """These rows of a table are new here: sent by a peer, or written here."""

    table: str
    rows: tuple[Row, ...]


Instruction = SendMessage | MemberStateChanged | Superseded | Reinstated | RowsChanged
