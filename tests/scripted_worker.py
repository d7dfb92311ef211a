"""A worker that speaks HTTP and answers its requests with given bytes."""

from __future__ import annotations

import asyncio

from loopback import Peer, Reader, Writer

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def line(text: str) -> bytes:
    """One line of an answer, as a chunk."""
    data = text.encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


def done(request_id: str) -> bytes:
    """The line that ends a job."""
    return line(f'{{"id":"{request_id}","state":"done","result":"served"}}')


def answer(request_id: str) -> bytes:
    """A whole answer to a job that is done."""
    return CHUNKED + done(request_id) + END


class ScriptedWorker(Peer):
    """A worker that answers each request with the next of the given byte strings.

    Attributes:
        closed: The numbers of the connections, from 1, that the scheduler has closed.
    """

    def __init__(self, *answers: bytes, request_end: bytes = b"pallets") -> None:
        self.answers = list(answers)
        self.request_end = request_end
        self.closed: asyncio.Queue[int] = asyncio.Queue()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Answer while there are answers, and wait for the end of the connection."""
        number = len(self.writers)
        try:
            while self.answers:
                await reader.readuntil(self.request_end)
                writer.write(self.answers.pop(0))
            await reader.read()
        finally:
            self.closed.put_nowait(number)
