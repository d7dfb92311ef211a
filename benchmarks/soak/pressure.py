"""Applies the pressures of a scenario: peers that stop half way, and peers that send at full speed."""

from __future__ import annotations

import asyncio
import socket
import sys

from benchmarks.soak.drawing import Pressure
from pipitshed.protocols.gearman import REQUEST_MAGIC, PacketType, encode_packet

BODY_BYTES = 64 * 1024
MAX_FLOODING = 4  # connections of one flood
SEND_TIMEOUT_S = 0.2  # after which a peer that holds its message has sent what the scheduler takes
_HEAD = b"POST /api HTTP/1.1\r\nX-Request-Id: %s\r\nX-Class: quote\r\nContent-Length: %d\r\n\r\n"

# Messages that never end; each connection sends one.
_HELD = {
    "half_bodies": _HEAD % (b"half", BODY_BYTES) + b"p" * (BODY_BYTES - 1),
    "many_fields": b"POST /api HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % number for number in range(2600)),
    "pipelines": _HEAD % (b"first", 0) + (_HEAD % (b"next", BODY_BYTES) + b"p" * BODY_BYTES) * 8,
}
# Messages sent again and again.
FLOODS = {
    "health_checks": b"GET /_health HTTP/1.1\r\n\r\n",
    "wrong_methods": b"PUT /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "echoes": encode_packet(PacketType.ECHO_REQ, b"", magic=REQUEST_MAGIC),
    "background_jobs": encode_packet(
        PacketType.SUBMIT_JOB_BG, b"no_such_function", b"u", b"", magic=REQUEST_MAGIC
    ),
}
GEARMAN_KINDS = ("echoes", "background_jobs")


async def apply(pressure: Pressure, http_port: int, gearman_port: int) -> None:
    """Press on the scheduler for the drawn time."""
    port = gearman_port if pressure.kind in GEARMAN_KINDS else http_port
    if pressure.kind in _HELD:
        sockets = await asyncio.to_thread(_hold, pressure, port, _HELD[pressure.kind])
        await asyncio.sleep(pressure.duration_s)
        for sock in sockets:
            sock.close()
    else:
        await _flood(pressure, port)


async def _flood(pressure: Pressure, port: int) -> None:
    """Send at full speed from a process of its own: threads here would delay the stand-ins."""
    arguments = (str(port), pressure.kind, str(min(MAX_FLOODING, pressure.connection_count)))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.soak.flood_process",
        *arguments,
        str(pressure.duration_s),
        *(("--reads",) if pressure.reads else ()),
    )
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()


def _hold(pressure: Pressure, port: int, data: bytes) -> list[socket.socket]:
    sockets = []
    for _ in range(pressure.connection_count):
        try:
            sock = socket.create_connection(("127.0.0.1", port), SEND_TIMEOUT_S)
            sockets.append(sock)
            sock.sendall(data)
        except OSError:
            continue  # the scheduler takes no more of it, or has closed its address
    return sockets
