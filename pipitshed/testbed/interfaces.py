"""The two interfaces of a stand-in planner: HTTP/1.1 with JSON lines, and gRPC on grpcio's own server.

grpcio is independent of the gRPC client in `upstream`, so that it checks that implementation.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import AsyncIterator
from datetime import UTC, datetime
from decimal import Decimal
from typing import Any

from pipitshed.testbed.planner import Job, Planner
from pipitshed.worker_api import planner_pb2 as pb

# grpcio logs each connection that is cut on purpose, unless this is set before the import.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
import grpc  # noqa: E402

LANES = {"day": pb.LANE_DAY, "night": pb.LANE_NIGHT}


class HttpInterface:
    """The server of interface 1: one request at a time on each connection, answered in JSON lines."""

    def __init__(self, planner: Planner) -> None:
        self.planner = planner
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, grace: float) -> None:
        """Stop listening, and abort open connections once no job is left or after `grace` seconds."""
        if self._server is not None:
            self._server.close()
        until = asyncio.get_running_loop().time() + grace
        while self.planner.job_count and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
            while await self._serve_request(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        if not head[0].startswith("POST "):
            return False  # the caller closes the connection on a request that it can't read
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
        }
        text = await reader.readexactly(int(headers.get("content-length", "0")))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        answering = asyncio.create_task(self._answer(writer, headers, text))
        disconnected = asyncio.create_task(reader.read(1))  # a scheduler that cancels closes its connection
        try:
            await asyncio.wait({answering, disconnected}, return_when=asyncio.FIRST_COMPLETED)
            if not answering.done():
                return False
            answering.result()
            if disconnected.done():
                return False
            disconnected.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnected
            return True
        finally:
            for task in (answering, disconnected):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                    await task

    async def _answer(self, writer: asyncio.StreamWriter, headers: dict[str, str], text: bytes) -> None:
        number = headers["x-request-id"]
        body = json.loads(text)
        key = headers.get("idempotency-key", "")
        # A scheduler without translation sends no class; only `book` requests have a key.
        job_class = headers.get("x-class", "book" if key else "quote")
        job = Job(job_class, key, headers.get("x-tenant", ""), float(headers.get("x-deadline", "0")), body)
        events = self.planner.work(job)
        try:
            async for state, payload in events:
                line: dict[str, Any] = {"id": number, "state": state}
                if state == "running":
                    line["share"] = payload
                elif state == "done":
                    line["result"] = json.dumps(_as_json(payload))
                elif state == "failed":
                    line["result"] = ": ".join(payload)
                data = json.dumps(line).encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            await events.aclose()  # type: ignore[attr-defined]


def _as_json(result: dict[str, Any]) -> dict[str, Any]:
    """Convert a result to version 1 of the form."""
    made = {name: value for name, value in result.items() if name not in ("price_cents", "departs_ms")}
    moment = datetime.fromtimestamp(result["departs_ms"] / 1000, UTC)
    made["departs"] = moment.strftime("%Y-%m-%dT%H:%M:%SZ")
    if "price_cents" in result:
        made["price"] = float(Decimal(result["price_cents"]) / 100)
    return made


class GrpcInterface:
    """The server of interface 2: a gRPC call with a stream of events."""

    def __init__(self, planner: Planner) -> None:
        self.planner = planner
        self.port = 0
        self._server = grpc.aio.server(
            options=[("grpc.http2.min_ping_interval_without_data_ms", 1000), ("grpc.so_reuseport", 0)]
        )

    async def start(self) -> None:
        handler = grpc.unary_stream_rpc_method_handler(
            self._run, pb.RunRequest.FromString, pb.RunEvent.SerializeToString
        )
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler("pipitshed.planner.v2.Planner", {"Run": handler}),)
        )
        self.port = self._server.add_insecure_port("127.0.0.1:0")
        await self._server.start()

    async def stop(self, grace: float) -> None:
        """Send GOAWAY, and end all streams after `grace` seconds."""
        await self._server.stop(grace or None)

    async def _run(
        self, request: pb.RunRequest, context: grpc.aio.ServicerContext[Any, Any]
    ) -> AsyncIterator[pb.RunEvent]:
        metadata = dict(context.invocation_metadata() or ())
        number = str(metadata["x-request-id"])
        kind = request.WhichOneof("job") or "quote"
        if kind != metadata["x-class"]:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "class and message differ")
        part = getattr(request, kind)
        body = {
            "origin": part.origin,
            "destination": part.destination,
            "pallets": part.pallets,
            "remark": part.remark,
            "weight_g": part.weight_g,
        }
        job = Job(
            kind,
            str(metadata.get("idempotency-key", "")),
            str(metadata.get("x-tenant", "")),
            context.time_remaining() or 0.0,
            body,
        )
        events = self.planner.work(job)
        try:
            async for state, payload in events:
                yield self._event(number, kind, state, payload)
            if state == "returned":
                context.set_trailing_metadata((("grpc-retry-pushback-ms", "20"),))
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    @staticmethod
    def _event(number: str, kind: str, state: str, payload: Any) -> pb.RunEvent:
        if state == "started":
            return pb.RunEvent(id=number, started=pb.Started())
        if state == "running":
            return pb.RunEvent(id=number, running=pb.Running(share=payload))
        if state == "failed":
            return pb.RunEvent(id=number, failed=pb.Failed(code=payload[0], text=payload[1]))
        if state == "returned":
            return pb.RunEvent(id=number, returned=pb.Returned(reason=payload))
        made = dict(payload, lane=LANES[payload["lane"]])
        done = pb.Done(offer=pb.Offer(**made)) if kind == "quote" else pb.Done(booking=pb.Booking(**made))
        return pb.RunEvent(id=number, done=done)
