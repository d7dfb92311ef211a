"""The handles by which Gearman clients and workers name the jobs of one scheduler process."""

from __future__ import annotations

import secrets

PROCESS_ID_BYTES = 8
MAX_NAME_CHARS = 32  # of the scheduler's name in a handle; clients store handles of 64 bytes at most


class JobHandles:
    """Makes handles that no other process makes, nor one that was started with the same configuration.

    A handle is also the idempotency key of a job without a unique id, so that workers would take a job under
    a handle of an earlier process for that process's job.
    """

    def __init__(self, scheduler_name: str) -> None:
        process_id = secrets.token_hex(PROCESS_ID_BYTES)
        prefix = f"H:{scheduler_name[:MAX_NAME_CHARS]}-{process_id}:"
        self._prefix = prefix.encode("latin-1", "replace")
        self._count = 0

    def new(self) -> bytes:
        """Return a new handle."""
        self._count += 1
        return self._prefix + b"%d" % self._count
