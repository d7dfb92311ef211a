"""What operators ask a scheduler about its fleet, beside what schedulers say to each other."""

from __future__ import annotations

import msgspec

from pipitshed.membership.messages import Ack, Exchange, Help, Nack, Ping


class Show(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Tell your view."""


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Leave the fleet in good order, and serve on."""


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One member as a view holds it."""

    name: str
    zone: str
    address: str
    state: str
    incarnation: int
    for_s: float  # it has been held so for this long
    said_by: str
    agrees: bool | None  # whether its last answer told the same view; None where it has told none


class Shown(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """A scheduler's view, in answer to `Show` and `Leave`."""

    name: str
    number: int  # counts the view's changes
    digest: str  # of who lives, and where
    health: int  # how far it doubts itself; 0 is well
    displaced: bool  # another process holds its name
    leaving: bool
    members: tuple[Row, ...]
    counts: dict[str, int]  # of messages, and of what was dropped and why


Said = Ping | Ack | Help | Nack | Exchange | Show | Leave | Shown
