"""Unique ids of Gearman jobs, and the idempotency keys made of them.

A client chooses the unique id of a job within its function. An idempotency key is compared with those of
all jobs, so it names the function too.
"""

from __future__ import annotations

import hashlib
from urllib.parse import quote_from_bytes

_UNIQUE_ID_IS_DATA = b"-"  # as a unique id: derive the id from the job's data


def resolve_unique_id(unique_id: bytes, function: bytes, data: bytes) -> bytes:
    """The unique id of a job; for `-` it is derived from the function and the data."""
    if unique_id != _UNIQUE_ID_IS_DATA:
        return unique_id
    return hashlib.sha256(function + b"\0" + data).hexdigest().encode()


def idempotency_key(function: bytes, unique_id: bytes) -> str:
    """The idempotency key of a job: FUNCTION:UNIQUE-ID, percent-encoded, so that no two jobs share one.

    All characters of the result are permitted in a header value.
    """
    return f"{quote_from_bytes(function, safe='')}:{quote_from_bytes(unique_id, safe='')}"
