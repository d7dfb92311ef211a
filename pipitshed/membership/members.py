"""Members, what is said of them, and which of two words is the newer."""

from __future__ import annotations

import enum

import msgspec

from pipitshed.replication.merkle_tree import hashed

NAME_LIMIT = 64  # bytes of a name or a zone
_encoder = msgspec.msgpack.Encoder()
Address = tuple[str, int]


class MemberState(enum.IntEnum):
    """What is held of a member, in the order in which one beats another at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # it did not answer, and did not refute
    LEFT = 3  # it said so itself


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member. `life` is drawn at a process's start: it tells two holders of a name apart.
    `said_by` is who first said it.
    """

    name: str
    host: str
    port: int
    zone: str
    incarnation: int  # Unix ms at the process's start, raised by each refutation
    instance_id: int
    state: MemberState = MemberState.ALIVE
    reported_by: str = ""
    region: str = ""  # its zone's part before the first "/" where it is empty

    @property
    def address(self) -> Address:
        """Where its peer address is."""
        return self.host, self.port

    @property
    def is_departed(self) -> bool:
        """Whether nothing more is expected of it."""
        return self.state >= MemberState.DEAD

    @property
    def size(self) -> int:
        """Bytes that it takes in a message."""
        return len(_encoder.encode(self))

    @property
    def key(self) -> str:
        """Of whom it is: a newer word takes its place."""
        return self.name

    @property
    def effective_region(self) -> str:
        """The region that it stands in."""
        return self.region or self.zone.partition("/")[0]

    @property
    def content_hash(self) -> int:
        """A hash of what two views must hold alike of one that lives; 0, so nothing, of one that is gone.
        That it is suspected is no part of it, as suspicions come and go by themselves; the refutation that
        ends one, or a death, is.
        """
        if self.is_departed:
            return 0
        return hashed(
            f"{self.name}\0{self.host}\0{self.port}\0{self.zone}\0{self.region}\0{self.instance_id}\0"
            f"{self.incarnation}".encode()
        )

    def is_valid(self) -> bool:
        """Whether it has the form of a word; what strangers send is held against it."""
        texts = (self.name, self.zone, self.host, self.reported_by, self.region)
        return (
            bool(self.name and self.host)
            and all(len(text) <= NAME_LIMIT // 4 or len(text.encode()) <= NAME_LIMIT for text in texts)
            and 0 < self.port < 65536
            and 0 <= self.incarnation < 2**62
            and 0 <= self.instance_id < 2**32
        )


def precedence(word: MemberRecord) -> tuple[int, int, int]:
    """What is newer has the higher rank: a total order, so that joining views is the same in any order. The
    incarnation first, then the state; of two lives that claim one incarnation the higher life stands.
    """
    return word.incarnation, word.instance_id, int(word.state)
