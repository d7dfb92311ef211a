"""The names of the counters of a cluster node, as `fleet show` and `/-/metrics` print them."""

from __future__ import annotations

from pipitshed.cluster.codec import MessageRejectedError, RejectionReason

DATAGRAMS_IN = "datagrams_in"
DATAGRAMS_OUT = "datagrams_out"
DATAGRAM_ERRORS = "datagram_errors"
STREAM_MESSAGES_IN = "streamed_in"
REPAIR_BYTES_OUT = "repair_bytes_out"
DROPPED_RATE_LIMIT = "dropped_flood"
DROPPED_SIZE_LIMIT = "dropped_size"
DROPPED_STREAM_LIMIT = "dropped_streams"
DROPPED_TOO_LONG = "dropped_long"  # an outgoing message that is longer than a datagram may be
DROPPED_SETTINGS_DATAGRAM = "dropped_settings"  # operators' requests that came as datagrams, not on streams
_DROPPED_BY_REASON = {reason: f"dropped_{reason.value}" for reason in RejectionReason}


def dropped(error: MessageRejectedError) -> str:
    """Return the name of the counter of messages that were rejected for the reason of this error."""
    return _DROPPED_BY_REASON[error.reason]
