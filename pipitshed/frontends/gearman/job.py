"""A Gearman client's job, and the packets that report its progress and end to the client."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pipitshed.protocols.gearman import PacketType, encode_packet
from pipitshed.proxy.deduplication import DeduplicationEntry
from pipitshed.proxy.request import TranslationFailure
from pipitshed.scheduling.events import ProgressKind

if TYPE_CHECKING:
    from pipitshed.frontends.gearman.connection import GearmanConnection
    from pipitshed.frontends.gearman.frontend import GearmanFrontend

log = logging.getLogger("pipitshed")


class GearmanJob:
    """One job handle; several handles with the same unique id may share one request."""

    __slots__ = ("frontend", "handle", "unique_id", "connection", "entry", "is_started", "done_fraction")

    def __init__(
        self,
        frontend: GearmanFrontend,
        handle: bytes,
        unique_id: bytes,
        connection: GearmanConnection | None,
    ) -> None:
        self.frontend, self.handle, self.unique_id = frontend, handle, unique_id
        self.connection = connection  # None for a background job
        self.entry: DeduplicationEntry | None = None
        self.is_started = False
        self.done_fraction = 0.0  # as the worker last reported, 0 to 1

    def succeeded(self, result: bytes) -> None:
        """Send the result."""
        self._end(encode_packet(PacketType.WORK_COMPLETE, self.handle, result), is_done=True)

    def rejected(self, retry_after_ms: float) -> None:
        """Send a warning with the retry delay in s, then a failure: the job has not run."""
        text = b"retry-after %.3f" % (retry_after_ms / 1000)
        self._end(
            encode_packet(PacketType.WORK_WARNING, self.handle, text),
            encode_packet(PacketType.WORK_FAIL, self.handle),
        )

    def failed(self) -> None:
        """Send a failure, preceded by the worker's error if the client has requested exceptions."""
        context = self.entry.context if self.entry is not None else None
        packets = [encode_packet(PacketType.WORK_FAIL, self.handle)]
        if (
            context is not None
            and context.last_error
            and self.connection
            and self.connection.wants_exceptions
        ):
            packets.insert(0, encode_packet(PacketType.WORK_EXCEPTION, self.handle, context.last_error))
        self._end(*packets)

    def untranslatable(self, _failure: TranslationFailure, _has_run: bool) -> None:
        """Send a failure; the reason is in the request's last_error."""
        self.failed()

    def progressed(self, kind: ProgressKind, done_fraction: float) -> None:
        """Send the progress as a percentage."""
        self.is_started = True
        if kind is ProgressKind.PROGRESS:
            self.done_fraction = done_fraction
            if self.connection is not None:
                percent = b"%d" % round(done_fraction * 100)
                self.connection.write(encode_packet(PacketType.WORK_STATUS, self.handle, percent, b"100"))

    def _end(self, *packets: bytes, is_done: bool = False) -> None:
        self.frontend.ended(self)
        if self.connection is not None:
            self.connection.write(b"".join(packets))
            self.connection.ended(self)
        elif not is_done:
            # No client waits for a background job, so its failure is reported in the log.
            log.warning("background job %s was not done", self.handle.decode("latin-1"))
