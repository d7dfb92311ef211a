"""How requests end, by the names under which the ends are counted and published."""

from __future__ import annotations

from enum import StrEnum

SUBMITTED_COUNTER = "taken"  # the published count of all requests that were submitted


class RequestEnd(StrEnum):
    """How a request ended; the values stand in the last log line and are mapped to metrics."""

    SUCCEEDED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNTRANSLATABLE = "unfit"
    OVERDUE = "overdue"
    WITHDRAWN = "withdrawn"
