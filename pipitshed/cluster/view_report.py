"""The membership view in the forms that operators read: for `fleet show`, and as `/-/metrics` lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from pipitshed.cluster.messages import MemberRow, ViewResponse
from pipitshed.membership.members import MemberRecord, MemberState
from pipitshed.membership.protocol import Membership

DURATION_DIGITS = 3  # decimals of seconds


def view_report(membership: Membership, now: float, counts: Mapping[str, int]) -> ViewResponse:
    """Return this scheduler's view, with its counters; `now` is in seconds of the event loop's clock."""
    view = membership.view
    return ViewResponse(
        name=membership.self_record.name,
        number=view.change_count,
        digest=view.digest(),
        health=membership.health.score,
        displaced=membership.superseded,
        leaving=membership.leaving,
        members=tuple(
            _member_row(membership, member, now) for member in sorted(view, key=lambda member: member.name)
        ),
        counts=dict(counts),
    )


def view_metrics(
    membership: Membership, counts: Mapping[str, int], settings_metrics: Mapping[str, int]
) -> bytes:
    """Return the metrics of the view, the node and its settings as lines for `/-/metrics`."""
    view = membership.view
    members_by_state = Counter(member.state for member in view)
    metrics = {state.name.lower(): members_by_state[state] for state in MemberState}
    metrics |= {"view_number": view.change_count, "health": membership.health.score}
    metrics |= dict(sorted(counts.items()))
    metrics |= dict(sorted(settings_metrics.items()))
    return "".join(f"scheduler.fleet.{name}={value}\n" for name, value in metrics.items()).encode()


def _member_row(membership: Membership, member: MemberRecord, now: float) -> MemberRow:
    return MemberRow(
        name=member.name,
        zone=member.zone,
        address=f"{member.host}:{member.port}",
        state=member.state.name.lower(),
        incarnation=member.incarnation,
        for_s=round(now - membership.view.state_changed_at(member.name), DURATION_DIGITS),
        said_by=member.reported_by,
        agrees=_agrees(membership, member),
    )


def _agrees(membership: Membership, member: MemberRecord) -> bool | None:
    """Whether the member's last answer reported the same view; None if it departed or sent none."""
    if member.name == membership.self_record.name:
        return True
    return None if member.is_departed else membership.replicator.agrees_with(member.name)
