"""The size limit of one update, and how an update beyond it is skipped.

An update has to fit into the process's memory beside everything else. One that does not is read to its end
and dropped, and the watch goes on: a new watch would only bring the same update again.
"""

from __future__ import annotations

from dataclasses import dataclass

BASE_MEMORY_MB = 40.0  # what the process takes without an endpoint list, with its clients' requests
MEMORY_BYTES_PER_UPDATE_BYTE = 20.0  # peak memory while an update is parsed and the list before still stands
MIN_SIZE_LIMIT_BYTES = 256 * 1024  # accepted whatever the memory limit is


def update_size_limit(memory_mb: float) -> int:
    """The largest update, in bytes, that a process with this memory limit accepts."""
    available_bytes = (memory_mb - BASE_MEMORY_MB) * 1024 * 1024
    return max(MIN_SIZE_LIMIT_BYTES, int(available_bytes / MEMORY_BYTES_PER_UPDATE_BYTE))


@dataclass(slots=True)
class OversizedUpdate:
    """An update beyond the limit while it is being skipped.

    Attributes:
        skipped_bytes: The bytes read and dropped so far.
        is_multiline: Whether the update comes indented over several lines.
    """

    skipped_bytes: int
    is_multiline: bool

    def skip_line(self, line: bytes) -> bool:
        """Count one line; True if the update ends with it.

        An update over several lines ends with the line that begins with its closing brace. An empty line is
        the next heartbeat, so the update has ended before it.
        """
        self.skipped_bytes += len(line) + 1
        return not self.is_multiline or not line.strip() or line.startswith(b"}")

    def skipped_message(self, limit_bytes: int) -> str:
        """What to log once the update has ended."""
        return _message(f"{self.skipped_bytes} bytes", limit_bytes, "it was skipped")

    @staticmethod
    def interrupted_message(limit_bytes: int) -> str:
        """What to log where the call ends before the update does."""
        return _message("unknown size", limit_bytes, "the call ended before it did")


def _message(size: str, limit_bytes: int, what_happened: str) -> str:
    return (
        f"an update of {size} exceeds the limit of {limit_bytes} bytes that limits.memory_mb sets; "
        f"{what_happened}, and the endpoint list stays as it is"
    )
