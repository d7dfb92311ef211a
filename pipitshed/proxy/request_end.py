"""The ways in which a request can end, with the names under which they are counted and published."""

from __future__ import annotations

from enum import StrEnum

SUBMITTED_COUNTER = "taken"  # published name of the count of submitted requests


class RequestEnd(StrEnum):
    """How a request ended; the values appear in the last log line and are mapped to metrics."""

    SUCCEEDED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNTRANSLATABLE = "unfit"
    OVERDUE = "overdue"
    WITHDRAWN = "withdrawn"
