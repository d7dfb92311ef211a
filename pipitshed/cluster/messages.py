"""What operators ask a scheduler about its fleet, beside what schedulers say to each other."""

from __future__ import annotations

import msgspec

from pipitshed.membership.messages import Ack, IndirectPing, Nack, Ping, RepairMessage
from pipitshed.replication.commit_tracking import AppliedQuery, AppliedReport


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


# ---- settings by row


class Put(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """Write this row, or delete it where there is no body."""

    key: str
    body: bytes | None
    over: tuple[int, int]  # term and number of the row that it takes the place of; (0, 0) for none
    take_over: bool = False


class PutDone(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """The row is written and acted on here, or it is not and `why` says so."""

    name: str
    why: str
    term: int = 0
    number: int = 0


class ShowRows(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """Tell the row of this key, or all of them."""

    key: str = ""


class ShownRow(msgspec.Struct, frozen=True, array_like=True):
    """One row as a scheduler holds it."""

    key: str
    value: float | None  # in force here
    file: float | None  # what the settings file says
    asked: str  # the row's own value, which is not in force where it is refused
    term: int
    number: int
    writer: str
    deleted: bool
    refused: str  # why; empty where it is acted on


class ShownRows(msgspec.Struct, frozen=True, array_like=True, tag=37):
    """A scheduler's rows."""

    name: str
    rows: tuple[ShownRow, ...]


class AskForce(msgspec.Struct, frozen=True, array_like=True, tag=38):
    """Is this row in force everywhere?"""

    key: str
    term: int
    number: int


class Force(msgspec.Struct, frozen=True, array_like=True, tag=39):
    """Who acts on a row, as far as the scheduler asked knows."""

    in_force: bool
    acting: tuple[str, ...]
    missing: tuple[tuple[str, str], ...]  # and why, where one refuses it
    out_of_touch: tuple[str, ...]
    superseded: str = ""  # by which row


class AskStatus(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """What do you act on, and whom do you know?"""


class Status(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """What a scheduler acts on."""

    name: str
    digest: str  # of the rows that it acts on
    rows: int
    for_s: float  # it has acted on them for this long
    caught_up: bool
    unsaved: str  # why the rows could not be kept; empty where they were
    refused: tuple[tuple[str, str], ...]  # key and reason
    members: tuple[tuple[str, str, str], ...]  # name, peer address, state


Settings = Put | ShowRows | AskForce | AskStatus | AppliedReport | AppliedQuery
Answer = Shown | PutDone | ShownRows | Force | Status
ClusterMessage = Ping | Ack | IndirectPing | Nack | RepairMessage | Show | Leave | Settings | Answer
