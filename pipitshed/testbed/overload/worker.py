"""A simulated worker: slots, a bounded queue, and a price for connections and cancelled jobs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pipitshed.scheduling.events import Outcome, WorkerId
from pipitshed.testbed.overload.scenario import WorkersFile
from pipitshed.testbed.virtual_time import VirtualTime


@dataclass(eq=False, slots=True)
class WorkerJob:
    """One attempt as its worker sees it.

    Attributes:
        on_started: Called when the worker begins to run the job.
        on_ended: Called once with the outcome, unless the attempt was cancelled before.
    """

    work_ms: float
    on_started: Callable[[], None]
    on_ended: Callable[[Outcome], None]
    has_started: bool = False
    is_cancelled: bool = False


class Worker:
    """Runs jobs in the order in which they arrive.

    Attributes:
        connection_count: The connections that schedulers have open.
    """

    def __init__(
        self, worker_id: WorkerId, file: WorkersFile, time: VirtualTime, on_wasted: Callable[[], None]
    ) -> None:
        """`on_wasted` is called for each job that is run to its end though it was cancelled."""
        self.id = worker_id
        self.connection_count = 0
        self.is_hung = False
        self._file = file
        self._time = time
        self._on_wasted = on_wasted
        self._running: set[WorkerJob] = set()
        self._queue: deque[WorkerJob] = deque()
        self._accepts_at_ms = 0.0  # when it has made the handshakes of all connections so far

    def connect(self) -> float | None:
        """Begin a connection; return the time in ms until it is up, or None where it is refused."""
        if self.connection_count >= self._file.connections:
            return None
        self.connection_count += 1
        now_ms = self._time.now_ms
        self._accepts_at_ms = max(self._accepts_at_ms, now_ms) + self._file.handshake_ms
        return self._accepts_at_ms - now_ms

    def disconnect(self) -> None:
        """A scheduler closes a connection."""
        self.connection_count -= 1

    def submit(self, job: WorkerJob) -> None:
        """Take a job that has arrived, or reject it."""
        if job.is_cancelled:
            return
        if len(self._running) < self._file.slots and not self.is_hung:
            self._start(job)
        elif len(self._queue) < self._file.queue:
            self._queue.append(job)
        else:
            job.on_ended(Outcome.REJECTED)

    def cancel(self, job: WorkerJob) -> None:
        """A scheduler no longer waits for a job."""
        job.is_cancelled = True
        if self._file.cancel_drops_queued and job in self._queue:
            self._queue.remove(job)
        elif self._file.cancel_stops_running and job in self._running:
            self._free_slot(job)

    def _start(self, job: WorkerJob) -> None:
        self._running.add(job)
        job.has_started = True
        if not job.is_cancelled:
            job.on_started()
        self._time.call_later(job.work_ms, lambda: self._end(job))

    def _end(self, job: WorkerJob) -> None:
        if job not in self._running:
            return
        if job.is_cancelled:
            self._on_wasted()
        else:
            job.on_ended(Outcome.OK)
        self._free_slot(job)

    def _free_slot(self, job: WorkerJob) -> None:
        self._running.discard(job)
        if self._queue and not self.is_hung:
            self._start(self._queue.popleft())
