"""Member records, and the order in which one record replaces another."""

from __future__ import annotations

import enum

import msgspec

from pipitshed.replication.merkle_tree import hash64

NAME_LIMIT = 64  # bytes of a name, a zone or a region
_ALWAYS_VALID_CHARS = NAME_LIMIT // 4  # a character takes at most 4 bytes of UTF-8
_encoder = msgspec.msgpack.Encoder()
Address = tuple[str, int]


class MemberState(enum.IntEnum):
    """The states of a member; at the same incarnation the greater one takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # it did not answer, and did not refute the suspicion
    LEFT = 3  # it announced this itself


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member, as a member has reported it."""

    name: str
    host: str
    port: int
    zone: str
    incarnation: int  # Unix ms at the process's start, raised by each refutation
    instance_id: int  # drawn at the process's start: it tells two processes with one name apart
    state: MemberState = MemberState.ALIVE
    reported_by: str = ""  # the member that reported it first
    region: str = ""  # where empty, the part of the zone before the first "/"

    @property
    def address(self) -> Address:
        """The address for messages of peers."""
        return self.host, self.port

    @property
    def is_departed(self) -> bool:
        """Whether the member is dead or has left."""
        return self.state >= MemberState.DEAD

    @property
    def size(self) -> int:
        """Encoded size in bytes."""
        return len(_encoder.encode(self))

    @property
    def key(self) -> str:
        """The member's name: a newer record of the same name replaces this one."""
        return self.name

    @property
    def effective_region(self) -> str:
        """The region that the member is in."""
        return self.region or self.zone.partition("/")[0]

    @property
    def content_hash(self) -> int:
        """A hash of what two views must agree on: 0, so nothing, for a departed member.

        A suspicion is no part of it, as it ends by itself; the refutation that ends one, or a death, is.
        """
        if self.is_departed:
            return 0
        return hash64(
            f"{self.name}\0{self.host}\0{self.port}\0{self.zone}\0{self.region}\0{self.instance_id}\0"
            f"{self.incarnation}".encode()
        )

    def is_valid(self) -> bool:
        """Whether all fields are within their bounds; records from peers are checked by it."""
        texts = (self.name, self.zone, self.host, self.reported_by, self.region)
        return (
            bool(self.name and self.host)
            and all(len(text) <= _ALWAYS_VALID_CHARS or len(text.encode()) <= NAME_LIMIT for text in texts)
            and 0 < self.port < 65536
            and 0 <= self.incarnation < 2**62
            and 0 <= self.instance_id < 2**32
        )

    def with_state(self, state: MemberState, reported_by: str) -> MemberRecord:
        """Return this record with another state, as reported by a member."""
        return MemberRecord(
            self.name,
            self.host,
            self.port,
            self.zone,
            self.incarnation,
            self.instance_id,
            state,
            reported_by,
            self.region,
        )


def precedence(record: MemberRecord) -> tuple[int, int, int]:
    """Return a sort key under which the record that replaces another is greater.

    The order is total, so that merged views do not depend on the order of arrival: by the incarnation, then
    by the instance, then by the state.
    """
    return record.incarnation, record.instance_id, int(record.state)
