"""What a view saw, as JSON lines with the machine's monotonic time, for those who judge afterwards."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class EventLog:
    """Nothing is written, and no library loaded, where no file is asked for."""

    def write(self, event: str, **told: Any) -> None:
        """One event."""

    def close(self) -> None:
        """No more events come."""

    @staticmethod
    def to(path: Path | None) -> EventLog:
        """A log to this file, or none."""
        return EventLog() if path is None else _Lines(path)


class _Lines(EventLog):
    def __init__(self, path: Path) -> None:
        import structlog  # of the extra `fleet`

        self._out = path.open("a")
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(self._out),
            processors=[_times, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.BoundLogger,
        )

    def write(self, event: str, **told: Any) -> None:
        self._logger.info(event, **told)

    def close(self) -> None:
        self._out.close()


def _times(logger: object, method: str, event: Any) -> Any:
    """Monotonic seconds, which all processes of a machine share, and Unix time beside them."""
    return {"t": round(time.monotonic(), 6), "unix": round(time.time(), 3)} | event
