"""What a scheduler's protocol wants done, and what it tells."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.membership.members import Address, State, Word
from pipitshed.membership.messages import Message
from pipitshed.replication.row import Row


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class News:
    """A member's state has changed in this view, from what was held before (None: it was unknown)."""

    word: Word
    before: State | None


@dataclass(frozen=True, slots=True)
class Displaced:
    """Another process holds this one's name, and came later."""

    by: Word


@dataclass(frozen=True, slots=True)
class RowNews:
    """These rows of a table are new here: told by a peer, or put here."""

    table: str
    rows: tuple[Row, ...]


Effect = Tell | News | Displaced | RowNews
