"""The event log of one scheduler: membership and settings events as JSON lines with their times."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

TIME_DIGITS = 6  # decimals of monotonic seconds
UNIX_TIME_DIGITS = 3


class EventLog:
    """An event log that discards its events; `EventLog.open` opens one that writes to a file."""

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""

    def close(self) -> None:
        """Close the log."""

    @staticmethod
    def open(path: Path | None) -> EventLog:
        """Return a log that appends to this file; without one, a log that discards its events."""
        return EventLog() if path is None else _FileEventLog(path)


class _FileEventLog(EventLog):
    def __init__(self, path: Path) -> None:
        import structlog  # imported only here: it is part of the extra `fleet`

        self._file = path.open("a")
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(self._file),
            processors=[_add_times, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.BoundLogger,
        )

    def write(self, event: str, **fields: Any) -> None:
        self._logger.info(event, **fields)

    def close(self) -> None:
        self._file.close()


def _add_times(_logger: object, _method: str, event: Any) -> Any:
    """Add the monotonic time, which all processes of a machine share, and Unix time, both in seconds."""
    times = {
        "t": round(time.monotonic(), TIME_DIGITS),
        "unix": round(time.time(), UNIX_TIME_DIGITS),
    }
    return times | event
