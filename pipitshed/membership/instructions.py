"""Instructions that the protocol returns to its caller: messages to send and changes to act on."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import Message
from pipitshed.replication.row import Row


@dataclass(frozen=True, slots=True)
class SendMessage:
    """The caller has to send this message."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class MemberStateChanged:
    """A member's state or instance has changed in the view; `previous_state` is None for a new member."""

    record: MemberRecord
    previous_state: MemberState | None


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process that started later has this member's name."""

    by: MemberRecord


@dataclass(frozen=True, slots=True)
class Reinstated:
    """The process that superseded this member has departed, so this member has its name again."""

    after: MemberRecord


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """These rows of a table are new on this member: a peer sent them, or this member wrote them."""

    table: str
    rows: tuple[Row, ...]


Instruction = SendMessage | MemberStateChanged | Superseded | Reinstated | RowsChanged
