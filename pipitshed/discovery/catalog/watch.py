"""One call to the catalog on a connection of its own: a watch, or a fetch of the whole list.

A watch answers with chunked lines for as long as its connection lasts: updates, and an empty line as a
heartbeat while nothing changes. A call that this side has not ended itself is reported as a failed fetch.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from pipitshed.discovery.catalog.size_limit import MEMORY_BYTES_PER_UPDATE_BYTE, OversizedUpdate
from pipitshed.discovery.catalog.update_parser import LineAssembler, decode_update
from pipitshed.flow_control import PacedConnection
from pipitshed.protocols.http import MalformedResponseError, ResponseReader

if TYPE_CHECKING:
    from pipitshed.discovery.catalog.client import CatalogClient

CATALOG_PATH = "/catalog/members"
UPDATE_TIMEOUT_S = 1.5  # from the first byte of an update, or from the head, to its end
MIN_RATE_BYTES_PER_S = 64 * 1024  # a longer update that arrives at this rate gets further UPDATE_TIMEOUT_S
HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines of a watch
WATCH_SILENCE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 0.4  # after which a watch counts as broken
OVERSIZED_UPDATE_TIMEOUT_S = 10.0  # to the end of an update that is being skipped
UPDATE_FRACTION = 0.5  # of the memory budget, which one update is charged at most
READ_SIZE_BYTES = 256 * 1024  # upper bound of one read from a connection

_STATUS_OK = 200

log = logging.getLogger("pipitshed")


class CatalogCall(PacedConnection):
    """One call: the whole list, or a watch that lasts until its connection ends."""

    slice_bytes = 2048

    def __init__(self, client: CatalogClient, is_watch: bool) -> None:
        super().__init__(client.flow_control)
        self._client = client
        self._is_watch = is_watch
        self._size_limit_bytes = client.size_limit
        self._update_charge = self.flow_control.memory.charge()
        self._reader = ResponseReader(self, self._size_limit_bytes + READ_SIZE_BYTES)
        self._status = 0
        self._ended = False
        self._has_update = False  # the first update is complete; heartbeats count from then on
        self._assembler = LineAssembler()
        self._oversized: OversizedUpdate | None = None  # the update that is being skipped
        self._missed_update = False  # an update was skipped, and no snapshot has arrived since
        self._received_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Connect, which sends the request; report the call as failed if that is not possible."""
        client = self._client
        try:
            async with asyncio.timeout(client.connect_timeout_s):
                await client.loop.create_connection(lambda: self, *client.address)
        except OSError:
            client.unreachable = True
            self.fail()
        except Exception:
            log.exception("discovery call failed")
            self.fail()

    def end(self) -> None:
        """End the call without reporting a failure."""
        if self._ended:
            return
        self._ended = True
        if self._oversized is not None:
            self._client.log_problem(self._oversized.interrupted_message(self._size_limit_bytes))
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._update_charge.release()
        self._client.call_ended()

    def fail(self) -> None:
        """End the call and report that it failed."""
        if not self._ended:
            self.end()
            self._client.table.fetch_failed()

    # ---- timers

    def _set_timeout(self, seconds: float, on_timeout: Callable[[], None] | None = None) -> None:
        """Replace the timer; when it expires the call fails, unless `on_timeout` decides otherwise."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._ended:
            self._timer = self._client.loop.call_later(seconds, on_timeout or self.fail)

    def _set_update_timeout(self) -> None:
        """Fail the call if the update does not end in time, unless it arrives at the minimum rate.

        Where many schedulers fetch a long list at the same time, it takes longer than the timeout. Aborting
        the call would only start the same transfer again.
        """
        received_before = self._received_bytes

        def check_rate() -> None:
            if self._received_bytes - received_before >= UPDATE_TIMEOUT_S * MIN_RATE_BYTES_PER_S:
                self._set_update_timeout()
            else:
                self.fail()

        self._set_timeout(UPDATE_TIMEOUT_S, check_rate)

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        super().connection_made(transport)
        assert self._transport is not None
        self._client.unreachable = False
        if self._ended:
            self._transport.abort()
            return
        query = f"?watch=1&from={self._client.version}" if self._is_watch else ""
        request = f"GET {CATALOG_PATH}{query} HTTP/1.1\r\nHost: service.internal\r\n\r\n"
        self._transport.write(request.encode())
        self._set_timeout(self._client.response_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and start the update's timeout with its first byte."""
        if self._ended:
            return
        was_incomplete = self._is_update_incomplete
        self._client.counters["list bytes"] += len(data)
        self._received_bytes += len(data)
        try:
            self._reader.feed(data)
        except MalformedResponseError as error:
            self._client.log_problem(str(error))
            self.fail()
        except Exception:
            log.exception("discovery update failed")
            self.fail()
        if not self._ended:
            self._charge_update()
        # The timeout runs from an update's first byte. Bytes that arrive one at a time must not renew it, as
        # the scheduler counts as informed once discovery sends the list. Only a complete line renews it.
        if self._is_update_incomplete and not was_incomplete and self._oversized is None:
            self._set_update_timeout()

    def _charge_update(self) -> None:
        """Charge what parsing the update will take, so that others take less meanwhile."""
        received = self._assembler.size_bytes + len(self._reader.buffer)
        peak_bytes = int(received * MEMORY_BYTES_PER_UPDATE_BYTE)
        memory = self.flow_control.memory
        if math.isfinite(memory.limit_bytes):
            self._update_charge.set(min(peak_bytes, int(UPDATE_FRACTION * memory.limit_bytes)))

    @property
    def _is_update_incomplete(self) -> bool:
        """Whether an update has been received in part."""
        return bool(self._assembler) or self._oversized is not None or len(self._reader.buffer) > 0

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the call as failed, unless this side has ended it."""
        super().connection_lost(_exc)
        self.fail()
        self._reader.close()

    # ---- what the HTTP reader reports

    def head_received(self, status: int) -> None:
        """Check the response's status; called when its head is complete."""
        self._status = status
        if status != _STATUS_OK:
            self.fail()
        else:
            self._set_update_timeout()  # the first update follows immediately

    def body_received(self) -> None:
        """Handle the reader's buffer: the lines of a watch, and updates beyond the size limit."""
        buffer, limit_bytes = self._reader.buffer, self._size_limit_bytes
        for line in buffer.take_lines() if self._is_watch else ():
            if self._ended:
                return
            if self._oversized is None and self._assembler.size_bytes + len(line) > limit_bytes:
                self._start_skipping()
            if self._oversized is not None:
                self._skip_line(self._oversized, line)
            else:
                self._accept_line(line)
        if self._oversized is None and self._assembler.size_bytes + len(buffer) > limit_bytes:
            self._start_skipping()
        if self._oversized is not None and (not self._is_watch or len(buffer) > READ_SIZE_BYTES):
            self._oversized.skipped_bytes += len(buffer.take_all())

    def response_ended(self, _keep_alive: bool) -> None:
        """Handle the end of the response: the list of a fetch, or the unexpected end of a watch."""
        text = self._assembler.join(self._reader.buffer.take_all())
        is_complete = self._ended or (
            self._oversized is None and (not text.strip() or self._accept_update(text))
        )
        if self._is_watch or self._status != _STATUS_OK or not is_complete:
            self.fail()
        else:
            self.end()

    # ---- lines of a watch

    def _accept_line(self, line: bytes) -> None:
        """Handle a heartbeat, an update, or one line of an indented update."""
        if not self._assembler:
            if not line.strip():
                if self._has_update:
                    self._set_timeout(WATCH_SILENCE_TIMEOUT_S)
                return
            if line.rstrip().endswith(b"}") and self._accept_update(line):
                self._set_timeout(WATCH_SILENCE_TIMEOUT_S)
                return
        text = self._assembler.add(line)
        if text is not None:
            if not self._accept_update(text):
                raise MalformedResponseError("invalid update: truncated")
            self._set_timeout(WATCH_SILENCE_TIMEOUT_S)

    def _accept_update(self, text: bytes) -> bool:
        """Pass an update to the client; False if the text is truncated."""
        update = decode_update(text)
        if update is None:
            return False
        self._has_update = True
        # A skipped update must not advance the known version: the next call has to ask from before it.
        self._missed_update = self._missed_update and not update.reset
        self._client.accept(self, update, not self._missed_update)
        return True

    # ---- updates beyond the size limit

    def _start_skipping(self) -> None:
        self._oversized = OversizedUpdate(self._assembler.size_bytes, bool(self._assembler))
        self._missed_update = True
        self._assembler.clear()
        self._set_timeout(OVERSIZED_UPDATE_TIMEOUT_S)

    def _skip_line(self, oversized: OversizedUpdate, line: bytes) -> None:
        if oversized.skip_line(line):
            self._client.log_problem(oversized.skipped_message(self._size_limit_bytes))
            self._oversized, self._has_update = None, True
            self._set_timeout(WATCH_SILENCE_TIMEOUT_S)
