"""The simulator's adapter: runs several dispatchers in one process over standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import Event
from pipitshed.simulator import wire


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if 0 < size != len(data):
        raise wire.WireError(f"the input ends inside a frame ({len(data)} of {size} bytes)")
    return data


def _handle(dispatcher: Dispatcher, instance: int, now_ms: float, events: list[Event]) -> list[bytes]:
    """The encoded actions of one instance, or the record of an exception that its dispatcher raised."""
    try:
        return [wire.encode_action(instance, action) for action in dispatcher.handle(now_ms, events)]
    except Exception as error:
        return [wire.encode_exception(instance, f"{type(error).__name__}: {error}")]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch of events with a reply frame until the input ends; raises WireError."""
    dispatchers: dict[int, Dispatcher] = {}
    while header := source.read(wire.HEADER.size):
        if len(header) < wire.HEADER.size:
            raise wire.WireError("the input ends inside a frame header")
        count, length, now_ms = wire.HEADER.unpack(header)
        events_by_instance = _events_by_instance(dispatchers, count, _read_exactly(source, length))
        records: list[bytes] = []
        for instance, events in events_by_instance.items():
            records += _handle(dispatchers[instance], instance, now_ms, events)
        sink.write(wire.encode_reply(records))
        sink.flush()


def _events_by_instance(
    dispatchers: dict[int, Dispatcher], count: int, batch: bytes
) -> dict[int, list[Event]]:
    """The events of a batch by instance; adds the instances that it starts and removes those it stops."""
    events_by_instance: dict[int, list[Event]] = {}
    for instance, event in wire.decode_batch(count, batch):
        if isinstance(event, wire.InstanceStarted):
            dispatchers[instance] = Dispatcher(event.settings, event.seed)
            events_by_instance[instance] = []
        elif isinstance(event, wire.InstanceStopped):
            dispatchers.pop(instance, None)
            events_by_instance.pop(instance, None)
        elif instance in dispatchers:
            events_by_instance.setdefault(instance, []).append(event)
        else:
            raise wire.WireError(f"an event for instance {instance}, which is not running")
    return events_by_instance


def main() -> int:
    """Run the adapter; returns 0, or 2 with a message on standard error where the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"pipitshed: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
