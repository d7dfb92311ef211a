"""The text commands of Gearman's administrative protocol."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from pipitshed import __version__

if TYPE_CHECKING:
    from pipitshed.frontends.gearman.frontend import GearmanFrontend

_OK = b"OK\n"
_UNKNOWN_COMMAND = b"ERR UNKNOWN_COMMAND Unknown+server+command\n"


def run_command(frontend: GearmanFrontend, line: str) -> bytes:
    """Run one command line, and return the response."""
    words = line.split()
    name = words[0] if words else ""
    if name == "version":
        return f"OK pipitshed {__version__}\n".encode()
    if name == "status":
        return _table(_function_rows(frontend))
    if name == "workers":
        return _table(
            f"- - {worker.name} : {' '.join(worker.abilities)}" for worker in frontend.worker_client.workers
        )
    if name == "maxqueue" and len(words) > 1:
        return _OK  # accepted without effect: the scheduler limits its queue itself
    if name == "shutdown":
        frontend.shutdown()
        return _OK
    return _UNKNOWN_COMMAND


def _table(rows: Iterable[str]) -> bytes:
    return "".join(f"{row}\n" for row in rows).encode("latin-1", "replace") + b".\n"


def _function_rows(frontend: GearmanFrontend) -> list[str]:
    """For each function: open jobs, running jobs, and workers that can run it."""
    open_jobs: Counter[str] = Counter()
    running_jobs: Counter[str] = Counter()
    for job in frontend.jobs.values():
        if job.entry is not None and job.entry.context is not None:
            function = job.entry.context.request.function
            open_jobs[function] += 1
            running_jobs[function] += job.is_started
    workers = Counter(name for worker in frontend.worker_client.workers for name in worker.abilities)
    return [
        f"{name}\t{open_jobs[name]}\t{running_jobs[name]}\t{workers[name]}" for name in frontend.functions
    ]
