"""Files in which the two processes of an upgrade tell each other the ids of requests that may have run.

Each record is appended by one write. A file holds the records of one period of the monotonic clock, which all
processes of a machine share; records of the period before are still valid, and older files are removed.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import os
import struct
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

PERIOD_S = 60.0  # at least the longest time for which a record is valid
_RECORD = struct.Struct(">16sd")  # digest of the id, and until when it is valid; 0 withdraws it
_DIGEST_BYTES = 16

log = logging.getLogger("pipitshed")


@dataclass(slots=True)
class _Period:
    """The file of one period, and what has been read of it."""

    descriptor: int
    read_bytes: int = 0
    expiry_by_digest: dict[bytes, float] = field(default_factory=dict)


def _digest(request_id: str) -> bytes:
    return hashlib.blake2b(request_id.encode(), digest_size=_DIGEST_BYTES).digest()


class ExecutedIdFiles:
    """The records of the present period and the one before.

    Args:
        folder: Shared by the processes.
        name: The same for both processes of an upgrade, unlike those of other schedulers in the folder.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._prefix = f"executed-{name}-"
        self._periods: dict[int, _Period] = {}
        self._has_failed = False

    def add(self, request_id: str, expires_at: float) -> None:
        """Append a record; a failure is logged, as the request has been sent already."""
        try:
            os.write(self._period(_period_now()).descriptor, _RECORD.pack(_digest(request_id), expires_at))
        except OSError as error:
            self._log_failure(error)

    def contains(self, request_id: str) -> bool:
        """Whether a record of either process is valid for this id."""
        digest, now = _digest(request_id), monotonic()
        try:
            for number in (_period_now(), _period_now() - 1):
                period = self._period(number)
                _read_new(period)
                if digest in period.expiry_by_digest:
                    return period.expiry_by_digest[digest] > now
        except OSError as error:
            self._log_failure(error)
        return False

    def _period(self, number: int) -> _Period:
        period = self._periods.get(number)
        if period is None:
            path = self._folder / f"{self._prefix}{number}"
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            period = self._periods[number] = _Period(os.open(path, flags, 0o600))
            self._remove_old(_period_now() - 1)
        return period

    def _remove_old(self, oldest: int) -> None:
        for number in [number for number in self._periods if number < oldest]:
            os.close(self._periods.pop(number).descriptor)
        for path in self._folder.glob(f"{self._prefix}*"):
            period = path.name.removeprefix(self._prefix)
            if period.isdigit() and int(period) < oldest:
                with contextlib.suppress(FileNotFoundError):  # the other process was faster
                    path.unlink()

    def _log_failure(self, error: OSError) -> None:
        if not self._has_failed:
            self._has_failed = True
            log.warning("executed ids are not shared with the other process: %s", error)


def _period_now() -> int:
    return int(monotonic() // PERIOD_S)


def _read_new(period: _Period) -> None:
    """Read the complete records that were appended since the last time."""
    size = os.fstat(period.descriptor).st_size
    if size - period.read_bytes < _RECORD.size:
        return
    data = os.pread(period.descriptor, size - period.read_bytes, period.read_bytes)
    complete = len(data) - len(data) % _RECORD.size
    for digest, expires_at in _RECORD.iter_unpack(data[:complete]):
        period.expiry_by_digest[digest] = expires_at
    period.read_bytes += complete
