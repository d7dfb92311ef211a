"""Sends one kind of message at full speed on some connections for some time, then ends."""

from __future__ import annotations

import contextlib
import socket
import time

import click

from benchmarks.soak.pressure import FLOODS
from pipitshed.testbed.flood import Flood


@click.command(help=__doc__)
@click.argument("port", type=int)
@click.argument("kind", type=click.Choice(sorted(FLOODS)))
@click.argument("connection_count", type=int)
@click.argument("seconds", type=float)
@click.option("--reads", is_flag=True, help="Read what the scheduler sends.")
def main(port: int, kind: str, connection_count: int, seconds: float, reads: bool) -> None:
    """Flood the address."""
    floods = []
    with contextlib.suppress(OSError):  # the scheduler has closed its address
        for _ in range(connection_count):
            floods.append(Flood(socket.create_connection(("127.0.0.1", port)), FLOODS[kind], reads))
    time.sleep(seconds)
    for flood in floods:
        flood.close()


if __name__ == "__main__":
    main()
