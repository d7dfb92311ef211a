"""Messages between operators and a scheduler, and the union of all messages of a cluster.

The tag of a message and the order of its fields are the wire format. `fleet show --json` and `settings show
--json` print the fields of `ViewResponse`, `MemberRow` and `RowDetails` by their names.
"""

from __future__ import annotations

import msgspec

from pipitshed.membership.messages import Ack, IndirectPing, Nack, Ping, RepairMessage
from pipitshed.replication.commit_tracking import AppliedQuery, AppliedReport


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Request for the membership view; answered by `ViewResponse`."""


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Request to leave the cluster and continue to serve clients; answered by `ViewResponse`."""


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """One member in a scheduler's membership view."""

    name: str
    zone: str
    address: str
    state: str
    incarnation: int
    for_s: float  # seconds since it entered this state
    said_by: str  # the member that reported this state
    agrees: bool | None  # whether its last answer reported the same view; None if it sent none


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """A scheduler's membership view, in answer to `ViewRequest` and `Leave`."""

    name: str
    number: int  # how often the view has changed
    digest: str  # of the live members and their addresses
    health: int  # the local health score; 0 is healthy
    displaced: bool  # another process holds this scheduler's name
    leaving: bool
    members: tuple[MemberRow, ...]
    counts: dict[str, int]  # counters by name, see `counters`


class Put(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """Request to write a settings row, or to delete it if `body` is None; answered by `PutResponse`."""

    key: str
    body: bytes | None
    over: tuple[int, int]  # term and number of the row that it replaces; (0, 0) for none
    take_over: bool = False  # replace a row that another scheduler writes


class PutResponse(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """Outcome of a `Put`: the row is written and applied at this scheduler, or `why` is the reason."""

    name: str
    why: str
    term: int = 0
    number: int = 0


class RowsRequest(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """Request for the row of this key, or for all rows; answered by `RowsResponse`."""

    key: str = ""


class RowDetails(msgspec.Struct, frozen=True, array_like=True):
    """One settings row in a scheduler's table."""

    key: str
    value: float | None  # the value that this scheduler applies
    file: float | None  # the value in the settings file
    asked: str  # the value in the row, which is not applied if the row is rejected
    term: int
    number: int
    writer: str
    deleted: bool
    refused: str  # why the row is rejected; empty if it is applied


class RowsResponse(msgspec.Struct, frozen=True, array_like=True, tag=37):
    """A scheduler's settings rows, in answer to `RowsRequest`."""

    name: str
    rows: tuple[RowDetails, ...]


class CommitStatusRequest(msgspec.Struct, frozen=True, array_like=True, tag=38):
    """Request whether all live members apply this row; answered by `CommitStatusResponse`."""

    key: str
    term: int
    number: int


class CommitStatusResponse(msgspec.Struct, frozen=True, array_like=True, tag=39):
    """Which members apply a row, as far as the answering scheduler knows."""

    in_force: bool
    acting: tuple[str, ...]
    missing: tuple[tuple[str, str], ...]  # name, and the reason if the member rejects the row
    out_of_touch: tuple[str, ...]  # names of dead members
    superseded: str = ""  # version and writer of the row that replaced it


class AppliedStatusRequest(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Request for the applied rows and the known members; answered by `AppliedStatusResponse`."""


class AppliedStatusResponse(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Which settings rows a scheduler applies, in answer to `AppliedStatusRequest`."""

    name: str
    digest: str  # of the applied rows
    rows: int  # how many rows are applied or rejected
    for_s: float  # seconds since the applied rows last changed
    caught_up: bool
    unsaved: str  # why the rows could not be stored; empty if they were
    refused: tuple[tuple[str, str], ...]  # key and reason
    members: tuple[tuple[str, str, str], ...]  # name, peer address, state


SettingsMessage = (
    Put | RowsRequest | CommitStatusRequest | AppliedStatusRequest | AppliedReport | AppliedQuery
)
Answer = ViewResponse | PutResponse | RowsResponse | CommitStatusResponse | AppliedStatusResponse
ClusterMessage = (
    Ping | Ack | IndirectPing | Nack | RepairMessage | ViewRequest | Leave | SettingsMessage | Answer
)
