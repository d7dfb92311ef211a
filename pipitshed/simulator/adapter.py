"""The adapter: hosts many instances of the rules on standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import Event
from pipitshed.simulator import wire


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if 0 < size != len(data):
        raise wire.WireError(f"the input ends inside a frame ({len(data)} of {size} bytes)")
    return data


def _decide(dispatcher: Dispatcher, instance: int, now: float, events: list[Event]) -> list[bytes]:
    """One instance's share of a batch; whatever the rules raise is reported as `broken`."""
    try:
        return [wire.encode_action(instance, action) for action in dispatcher.handle(now, events)]
    except Exception as error:
        return [wire.encode_broken(instance, f"{type(error).__name__}: {error}")]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    dispatchers: dict[int, Dispatcher] = {}
    while head := source.read(wire.HEADER.size):
        if len(head) < wire.HEADER.size:
            raise wire.WireError("the input ends inside a frame header")
        count, length, now = wire.HEADER.unpack(head)
        shares: dict[int, list[Event]] = {}
        records: list[bytes] = []
        for instance, event in wire.decode_batch(count, _read(source, length)):
            if isinstance(event, wire.Born):
                dispatchers[instance] = Dispatcher(event.settings, event.seed)
                shares[instance] = []
            elif isinstance(event, wire.Halted):
                dispatchers.pop(instance, None)
                shares.pop(instance, None)
            elif instance in dispatchers:
                shares.setdefault(instance, []).append(event)
            else:
                raise wire.WireError(f"an event for instance {instance}, which is not running")
        for instance, events in shares.items():
            records += _decide(dispatchers[instance], instance, now, events)
        sink.write(wire.encode_reply(records))
        sink.flush()


def main() -> int:
    """Run the adapter; malformed input ends it with a message and a non-zero exit."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"pipitshed: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
