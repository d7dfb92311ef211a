"""Messages as bytes: a version, a checksum over all that follows, the cluster's name and MessagePack."""

from __future__ import annotations

import hashlib
import struct

import msgspec

from pipitshed.cluster.messages import ClusterMessage

VERSION = 2
DATAGRAM_LIMIT = 1400  # bytes; what is longer goes over a stream
FRAME_LIMIT = 1 << 20  # bytes of one message on a stream: some 10,000 members
CHECKSUM = 8  # bytes
LENGTH = struct.Struct("<I")  # before each message on a stream
_HEAD = struct.Struct(f"<2sB{CHECKSUM}s")
_MARK = b"PF"


class MessageRejectedError(ValueError):
    """Bytes that are no message of this cluster; the text is the reason in one word, to be counted by."""


class Codec:
    """Writes and reads the messages of one cluster. With a secret the checksum is keyed, so that nobody
    without it can forge a message; without one it guards against damage alone.
    """

    def __init__(self, cluster: str, secret: bytes = b"") -> None:
        self._cluster = cluster
        self._secret = secret
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[str, ClusterMessage])

    def encode(self, message: ClusterMessage) -> bytes:
        """The bytes of one message."""
        body = self._encoder.encode((self._cluster, message))
        return _HEAD.pack(_MARK, VERSION, self._sum(body)) + body

    def decode(self, data: bytes) -> ClusterMessage:
        """The message in these bytes; RefusedError where they are none of this cluster's."""
        if len(data) <= _HEAD.size or data[:2] != _MARK:
            raise MessageRejectedError("strange")
        if data[2] != VERSION:
            raise MessageRejectedError("version")
        body = data[_HEAD.size :]
        if data[3 : _HEAD.size] != self._sum(body):
            raise MessageRejectedError("checksum")
        try:
            cluster, message = self._decoder.decode(body)
        except msgspec.MsgspecError:
            raise MessageRejectedError("malformed") from None
        if cluster != self._cluster:
            raise MessageRejectedError("cluster")
        return message

    def _sum(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM, key=self._secret).digest()
