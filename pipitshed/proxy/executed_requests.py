"""The ids of requests that may have run and must not run again.

A request id is never reused. If one comes again, because its client has left and sends it to the same process
or to the other process of an upgrade, it is the same request, and it is not dispatched a second time.
"""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from pipitshed.flow_control import MemoryBudget
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.request import Request
from pipitshed.scheduling.settings import Idempotency, JobClass

if TYPE_CHECKING:
    from pipitshed.proxy.executed_id_files import ExecutedIdFiles

ID_BYTES = 256  # taken by one id, beside its length
MAX_RETENTION_S = 60.0  # after which no client waits for any answer to the request
MS_PER_S = 1000


class ExecutedRequests:
    """Remembers each id until no client can still wait for the request.

    Args:
        memory: Charged for what is remembered.
        files: Shared with the other process of an upgrade; None where no process takes over from another.
    """

    def __init__(self, memory: MemoryBudget, files: ExecutedIdFiles | None = None) -> None:
        self._files = files
        self._charge = memory.charge()
        self._expiry_by_id: dict[str, float] = {}  # monotonic time in s, in the order of the first attempts

    def __contains__(self, request_id: object) -> bool:
        if self._files is None and not self._expiry_by_id:
            return False
        self._forget_expired()
        if request_id in self._expiry_by_id:
            return True
        return self._files is not None and self._files.contains(str(request_id))

    def attempt_sent(self, attempt: Attempt, job_class: JobClass) -> None:
        """Remember the id of an attempt whose last byte is written, unless its job may be repeated freely."""
        if job_class.idempotency is Idempotency.IDEMPOTENT:
            return
        request_id = attempt.context.request.id
        if request_id in self._expiry_by_id:
            return
        self._forget_expired()
        retention_ms = max(job_class.deadline_ms, job_class.idempotency_window_ms)
        expires_at = monotonic() + min(retention_ms / MS_PER_S, MAX_RETENTION_S)
        self._expiry_by_id[request_id] = expires_at
        self._charge.add(ID_BYTES + len(request_id))
        if self._files is not None:
            self._files.add(request_id, expires_at)

    def never_ran(self, request: Request) -> None:
        """Forget a request of which it is known now that no attempt has run it."""
        if self._expiry_by_id.pop(request.id, None) is not None:
            self._charge.add(-ID_BYTES - len(request.id))
            if self._files is not None:
                self._files.add(request.id, 0.0)

    def _forget_expired(self) -> None:
        """Forget the oldest ids while they are expired; those of a shorter retention go with them."""
        now = monotonic()
        while self._expiry_by_id:
            request_id, expires_at = next(iter(self._expiry_by_id.items()))
            if expires_at > now:
                return
            del self._expiry_by_id[request_id]
            self._charge.add(-ID_BYTES - len(request_id))
