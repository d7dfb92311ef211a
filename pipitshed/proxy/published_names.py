"""The names of events, actions, their fields and values in the decision log.

Operators' tools parse these lines, so the names are part of the program's interface and stay unchanged when
the names in the code change. This module alone maps the code's names to them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pipitshed.scheduling import actions, events


@dataclass(frozen=True, slots=True)
class PublishedName:
    """The published name of a class, and those of its fields that differ from the code's."""

    name: str
    fields: dict[str, str]
    unpublished: frozenset[str] = frozenset()  # fields that the log omits


CLASSES: dict[type, PublishedName] = {
    events.EndpointsUpdated: PublishedName("ListNews", {}),
    events.DiscoveryMoved: PublishedName("ListMoved", {}),
    events.ConnectionLost: PublishedName("LinkLost", {}),
    events.JobSubmitted: PublishedName(
        "Submitted",
        {
            "job_id": "job",
            "remaining_ms": "time_left",
            "affinity_key": "key",
            "is_retry": "repeat",
            "compatible_interfaces": "fits",
        },
    ),
    events.ResponseStarted: PublishedName(
        "FirstByte", {"job_id": "job", "attempt_index": "attempt", "elapsed_ms": "elapsed"}
    ),
    events.AttemptProgressed: PublishedName(
        "Note", {"job_id": "job", "attempt_index": "attempt", "done_fraction": "done"}
    ),
    events.AttemptFinished: PublishedName(
        "Finished",
        {
            "job_id": "job",
            "attempt_index": "attempt",
            "elapsed_ms": "elapsed",
            "answered": "settled",
            "load_report": "report",
            "pushback_ms": "pushback",
        },
    ),
    events.AttemptEndDeferred: PublishedName("EndDeferred", {"job_id": "job", "attempt_index": "attempt"}),
    events.JobWithdrawn: PublishedName("Withdrawn", {"job_id": "job"}),
    events.TimerFired: PublishedName("TimerFired", {}),
    events.ProbeFinished: PublishedName("Probed", {"elapsed_ms": "elapsed", "load_report": "report"}),
    events.PeerMessageReceived: PublishedName("PeerMessage", {}),
    actions.StartAttempt: PublishedName(
        "Send", {"job_id": "job", "timeout_ms": "timeout", "write_within_ms": "write_within"}
    ),
    actions.RejectRequest: PublishedName(
        "Refuse", {"job_id": "job", "retry_after_ms": "retry_after"}, unpublished=frozenset({"reason"})
    ),
    actions.FailRequest: PublishedName("Fail", {"job_id": "job"}, unpublished=frozenset({"reason"})),
    actions.CancelAttempt: PublishedName("Cancel", {"job_id": "job", "attempt_index": "attempt"}),
    actions.SetTimer: PublishedName("SetTimer", {"delay_ms": "delay"}),
    actions.WatchEndpoints: PublishedName("WatchList", {"enabled": "on"}),
    actions.ProbeWorker: PublishedName("Probe", {}),
    actions.CloseIdleConnections: PublishedName("CloseIdle", {}),
    actions.SendPeerMessage: PublishedName("TellPeer", {}),
    actions.FetchEndpoints: PublishedName("FetchList", {}),
    actions.LogLine: PublishedName("Log", {}),
}

MEMBERS: dict[tuple[type[enum.Enum], str], str] = {  # by enum and the member's name in the code
    (events.Outcome, "REJECTED"): "FULL",
    (events.Outcome, "SUPERSEDED"): "MOOT",
    (events.UpdateKind, "SNAPSHOT"): "FULL",
    (events.UpdateKind, "FETCH_FAILED"): "FAILED",
    (events.EndpointState, "REMOVED"): "GONE",
}


def member_name(member: enum.Enum) -> str:
    """The published name of an enum's member."""
    return MEMBERS.get((type(member), member.name), member.name)
