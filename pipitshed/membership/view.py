"""The membership view of one member: bounded in size, with tombstones that expire."""

from __future__ import annotations

from collections.abc import Iterator

from pipitshed.membership.members import MemberRecord, precedence
from pipitshed.replication.merkle_tree import MerkleTree

MAX_MEMBERS = 4096  # bound on names in the view, whatever peers send


class MembershipView:
    """The newest record of each member; `change_count` is raised by each change."""

    def __init__(self, tombstone_lifetime_s: float, max_members: int = MAX_MEMBERS) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._state_since: dict[str, float] = {}
        self._departed: set[str] = set()
        self._tombstone_lifetime_s = tombstone_lifetime_s
        self._max_members = max_members
        self.change_count = 0
        self.caught_up = True  # always: a joining member's view has at least its own record
        self.tree = MerkleTree()
        self.rejected_count = 0  # records rejected because the view was full

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def __contains__(self, name: object) -> bool:
        return name in self._records

    def __len__(self) -> int:
        return len(self._records)

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a member, or None."""
        return self._records.get(name)

    def state_changed_at(self, name: str) -> float:
        """Return the time at which a member's state or instance last changed."""
        return self._state_since[name]

    def apply(self, now: float, record: MemberRecord) -> bool:
        """Store a record if it is newer than the current one; return whether it was stored."""
        current = self._records.get(record.name)
        if current is None:
            if len(self._records) >= self._max_members:
                self.rejected_count += 1
                return False
        elif precedence(record) <= precedence(current):
            return False
        if current is None or (current.state, current.instance_id) != (record.state, record.instance_id):
            self._state_since[record.name] = now
        self._records[record.name] = record
        self.tree.put(record.name, record.content_hash)
        (self._departed.add if record.is_departed else self._departed.discard)(record.name)
        self.change_count += 1
        return True

    def forget_departed(self, now: float) -> list[str]:
        """Remove the members whose tombstones have expired, and return their names.

        Without the removal the view would grow with every name that has ever joined.
        """
        lifetime_s = self._tombstone_lifetime_s
        expired = [name for name in self._departed if now - self._state_since[name] >= lifetime_s]
        for name in expired:
            del self._records[name], self._state_since[name]
            self.tree.drop(name)
            self._departed.discard(name)
            self.change_count += 1
        return expired

    @property
    def live_count(self) -> int:
        """The number of members that are alive or suspected."""
        return len(self._records) - len(self._departed)

    def live_members(self) -> list[MemberRecord]:
        """Return the records of the members that are alive or suspected, sorted by name."""
        return sorted((record for record in self if not record.is_departed), key=lambda record: record.name)

    def digest(self) -> str:
        """Return a hash of the live members' addresses and incarnations; equal if two views agree."""
        return self.tree.digest().hex()
