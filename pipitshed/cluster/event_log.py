"""The event log: what one scheduler saw of its cluster, as JSON lines with the machine's monotonic time."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

TIME_DIGITS = 6  # of monotonic seconds
UNIX_TIME_DIGITS = 3


class EventLog:
    """An event log that writes nothing; `EventLog.open` opens one that does."""

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""

    def close(self) -> None:
        """Close the log."""

    @staticmethod
    def open(path: Path | None) -> EventLog:
        """A log that appends to this file; without a file nothing is written, and no library is loaded."""
        return EventLog() if path is None else _FileEventLog(path)


class _FileEventLog(EventLog):
    def __init__(self, path: Path) -> None:
        import structlog  # of the extra `fleet`

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
    """Add monotonic seconds, which all processes of a machine share, and Unix time."""
    times = {
        "t": round(time.monotonic(), TIME_DIGITS),
        "unix": round(time.time(), UNIX_TIME_DIGITS),
    }
    return times | event
