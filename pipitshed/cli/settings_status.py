"""Collects which settings rows each member of a cluster applies, for `pipitshed settings status`."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field

from pipitshed.cli.client import RequestError, SchedulerTarget, request_or_exit, send_request
from pipitshed.cli.text_table import duration, table_lines
from pipitshed.cluster.messages import AppliedStatusRequest, AppliedStatusResponse
from pipitshed.protocols.address import parse_address

MAX_PARALLEL_REQUESTS = 16
LIVE_STATES = ("alive", "suspect")
LEFT_STATE = "left"
_SAME_WORDS = {True: "yes", False: "NO", None: "-"}


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The rows that one member applies; the fields are the keys of `settings status --json`.

    Attributes:
        same: Whether it applies the same rows as the member asked first; None where that is unknown.
        refused: The keys of the rows that it rejects, with the reasons.
    """

    name: str
    address: str
    state: str
    digest: str = ""
    rows: int = 0
    for_s: float = 0.0
    same: bool | None = None
    refused: tuple[tuple[str, str], ...] = ()
    remarks: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """The status of all members, and the answer of the member asked first."""

    first: AppliedStatusResponse
    members: list[MemberStatus]

    @property
    def is_uniform(self) -> bool:
        """Whether all live members apply the same rows and have no remarks."""
        live = [member for member in self.members if member.state in LIVE_STATES]
        return all(member.same and not member.remarks for member in live)


def collect_status(target: SchedulerTarget) -> ClusterStatus:
    """Ask one scheduler for the cluster's members, and each live member for its status."""
    first = request_or_exit(target, AppliedStatusRequest(), AppliedStatusResponse)

    def member_status(member: tuple[str, str, str]) -> MemberStatus:
        name, address, state = member
        without_answer = MemberStatus(name, address, state)
        if name == first.name:
            return _with_status(without_answer, first, first)
        if state not in LIVE_STATES:
            return _with_remark(without_answer, "" if state == LEFT_STATE else "out of touch")
        try:
            answer = send_request(
                parse_address(address), target.codec, AppliedStatusRequest(), AppliedStatusResponse
            )
        except RequestError as error:
            return _with_remark(without_answer, f"no answer: {error}")
        return _with_status(without_answer, answer, first)

    with ThreadPoolExecutor(MAX_PARALLEL_REQUESTS) as threads:
        return ClusterStatus(first, list(threads.map(member_status, first.members)))


def status_json(status: ClusterStatus) -> str:
    """The status as one JSON object."""
    members = [asdict(member) for member in status.members]
    return json.dumps({"asked": status.first.name, "digest": status.first.digest, "members": members})


def status_text(status: ClusterStatus) -> str:
    """The status as a table."""
    headings = ("NAME", "STATE", "DIGEST", "ROWS", "FOR", "SAME AS " + status.first.name, "")
    return "\n".join(table_lines([headings, *map(_cells, status.members)]))


def _with_remark(member: MemberStatus, remark: str) -> MemberStatus:
    if remark:
        member.remarks.append(remark)
    return member


def _with_status(
    member: MemberStatus, answer: AppliedStatusResponse, first: AppliedStatusResponse
) -> MemberStatus:
    remarks = [f"refuses {key}: {reason}" for key, reason in answer.refused]
    if answer.unsaved:
        remarks.append(f"its rows are not kept: {answer.unsaved}")
    if not answer.caught_up:
        remarks.append("has not received all rows since its start")
    return MemberStatus(
        name=member.name,
        address=member.address,
        state=member.state,
        digest=answer.digest,
        rows=answer.rows,
        for_s=answer.for_s,
        same=answer.digest == first.digest,
        refused=answer.refused,
        remarks=remarks,
    )


def _cells(member: MemberStatus) -> tuple[str, ...]:
    return (
        member.name,
        member.state,
        member.digest or "-",
        str(member.rows),
        duration(member.for_s),
        _SAME_WORDS[member.same],
        "; ".join(member.remarks),
    )
