"""The size limit of one update, and how an update beyond it is skipped.

An update has to fit into the process's memory. One that does not is read to its end and discarded, and the
watch continues: a new watch would only receive the same update again.
"""

from __future__ import annotations

from dataclasses import dataclass

BASE_MEMORY_MB = 40.0  # used by the process and its clients' requests, without an endpoint list
MEMORY_BYTES_PER_UPDATE_BYTE = 20.0  # peak, while an update is parsed and the previous list is in memory
MIN_SIZE_LIMIT_BYTES = 256 * 1024  # accepted at any memory limit


def update_size_limit(memory_mb: float) -> int:
    """The largest update, in bytes, that a process with this memory limit accepts."""
    available_bytes = (memory_mb - BASE_MEMORY_MB) * 1024 * 1024
    return max(MIN_SIZE_LIMIT_BYTES, int(available_bytes / MEMORY_BYTES_PER_UPDATE_BYTE))


@dataclass(slots=True)
class OversizedUpdate:
    """An update beyond the limit while it is being skipped.

    Attributes:
        skipped_bytes: The bytes read and dropped so far.
        is_multiline: Whether the update is indented over several lines.
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
        """Return the log message for an update that has been skipped to its end."""
        return _message(f"{self.skipped_bytes} bytes", limit_bytes, "it was skipped")

    @staticmethod
    def interrupted_message(limit_bytes: int) -> str:
        """Return the log message for an update whose call has ended before it."""
        return _message("unknown size", limit_bytes, "the call ended before it did")


def _message(size: str, limit_bytes: int, what_happened: str) -> str:
    return (
        f"an update of {size} exceeds the limit of {limit_bytes} bytes that limits.memory_mb sets; "
        f"{what_happened}, and the endpoint list stays as it is"
    )
