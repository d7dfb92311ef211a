"""Member records, and the order of precedence between two records of one member."""

from __future__ import annotations

import enum

import msgspec

from pipitshed.replication.merkle_tree import hash64

NAME_LIMIT_BYTES = 64  # bytes of a name, zone, host or region
_ALWAYS_VALID_CHARS = NAME_LIMIT_BYTES // 4  # a character has at most 4 bytes in UTF-8
_encoder = msgspec.msgpack.Encoder()
Address = tuple[str, int]


class MemberState(enum.IntEnum):
    """The states of a member; at the same incarnation the greater one takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # the member did not answer, and did not refute the suspicion in time
    LEFT = 3  # the member announced its departure


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member, as reported by that member or another one."""

    name: str
    host: str
    port: int
    zone: str
    incarnation: int  # Unix time in ms when the process started; each refutation raises it
    instance_id: int  # random, drawn when the process starts; distinguishes two processes with one name
    state: MemberState = MemberState.ALIVE
    reported_by: str = ""  # name of the member that first reported this state
    region: str = ""  # if empty, the region is the part of the zone before the first "/"

    @property
    def address(self) -> Address:
        """The host and port to which peers send messages."""
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
        """The member's name; a newer record with the same name replaces this one."""
        return self.name

    @property
    def effective_region(self) -> str:
        """The configured region, or else the part of the zone before the first "/"."""
        return self.region or self.zone.partition("/")[0]

    @property
    def content_hash(self) -> int:
        """A hash of the fields on which two views must agree; 0 for a departed member.

        The hash does not cover a suspicion, as a suspicion ends by itself; it changes with the refutation or
        the death that ends one.
        """
        if self.is_departed:
            return 0
        return hash64(
            f"{self.name}\0{self.host}\0{self.port}\0{self.zone}\0{self.region}\0{self.instance_id}\0"
            f"{self.incarnation}".encode()
        )

    def is_valid(self) -> bool:
        """Whether all fields are within their bounds; called for each record that a peer sends."""
        texts = (self.name, self.zone, self.host, self.reported_by, self.region)
        return (
            bool(self.name and self.host)
            and all(
                len(text) <= _ALWAYS_VALID_CHARS or len(text.encode()) <= NAME_LIMIT_BYTES for text in texts
            )
            and 0 < self.port < 65536
            and 0 <= self.incarnation < 2**62
            and 0 <= self.instance_id < 2**32
        )

    def with_state(self, state: MemberState, reported_by: str) -> MemberRecord:
        """Return a copy with another state and the name of the member that reports it."""
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
    """Return a sort key: of two records of one member, the one with the greater key replaces the other.

    Records are ordered by incarnation, then instance, then state. The order is total, so merged views do not
    depend on the order in which records arrive.
    """
    return record.incarnation, record.instance_id, int(record.state)
