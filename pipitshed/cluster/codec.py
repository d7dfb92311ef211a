"""Encodes messages: magic bytes, a version, a checksum of the body, and the body with the cluster's name."""

from __future__ import annotations

import enum
import hashlib
import struct

import msgspec

from pipitshed.cluster.messages import ClusterMessage

VERSION = 2
DATAGRAM_LIMIT_BYTES = 1400  # bytes; a longer message is sent only as an answer on a stream
FRAME_LIMIT_BYTES = 1 << 20  # bytes of one message on a stream; a view of about 10,000 members fits
CHECKSUM_BYTES = 8
LENGTH_PREFIX = struct.Struct("<I")  # before each message on a stream
_MAGIC = b"PF"
_VERSION_OFFSET = len(_MAGIC)
_CHECKSUM_OFFSET = _VERSION_OFFSET + 1
_HEADER = struct.Struct(f"<{len(_MAGIC)}sB{CHECKSUM_BYTES}s")


class RejectionReason(enum.Enum):
    """Why received bytes were rejected; the values are parts of the counters' names."""

    UNKNOWN_FORMAT = "strange"
    VERSION = "version"
    CHECKSUM = "checksum"
    MALFORMED = "malformed"
    OTHER_CLUSTER = "cluster"


class MessageRejectedError(ValueError):
    """Received bytes are no message of this cluster; the text is the value of the reason."""

    def __init__(self, reason: RejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Codec:
    """Encodes and decodes the messages of one cluster.

    With a secret the checksum is keyed, so that a message cannot be forged without the secret. Without
    a secret the checksum only detects damage.
    """

    def __init__(self, cluster: str, secret: bytes = b"") -> None:
        self._cluster = cluster
        self._secret = secret
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[str, ClusterMessage])

    def encode(self, message: ClusterMessage) -> bytes:
        """Return the message with its header, as it is sent."""
        body = self._encoder.encode((self._cluster, message))
        return _HEADER.pack(_MAGIC, VERSION, self._checksum(body)) + body

    def decode(self, data: bytes) -> ClusterMessage:
        """Decode one message, and check its checksum and its cluster.

        Raises:
            MessageRejectedError: The bytes are no message of this cluster.
        """
        if len(data) <= _HEADER.size or data[:_VERSION_OFFSET] != _MAGIC:
            raise MessageRejectedError(RejectionReason.UNKNOWN_FORMAT)
        if data[_VERSION_OFFSET] != VERSION:
            raise MessageRejectedError(RejectionReason.VERSION)
        body = data[_HEADER.size :]
        if data[_CHECKSUM_OFFSET : _HEADER.size] != self._checksum(body):
            raise MessageRejectedError(RejectionReason.CHECKSUM)
        try:
            cluster, message = self._decoder.decode(body)
        except msgspec.MsgspecError:
            raise MessageRejectedError(RejectionReason.MALFORMED) from None
        if cluster != self._cluster:
            raise MessageRejectedError(RejectionReason.OTHER_CLUSTER)
        return message

    def _checksum(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self._secret).digest()
