"""One member's view: the newest record of each member, bounded, with tombstones that expire."""

from __future__ import annotations

from collections.abc import Iterator

from pipitshed.membership.members import MemberRecord, precedence
from pipitshed.replication.merkle_tree import MerkleTree

MAX_MEMBERS = 4096  # names in the view, however many peers send


class MembershipView:
    """The newest record of each member. `change_count` counts its changes."""

    def __init__(self, tombstone_lifetime_s: float, max_members: int = MAX_MEMBERS) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._state_since: dict[str, float] = {}
        self._departed: set[str] = set()
        self._tombstone_lifetime_s = tombstone_lifetime_s
        self._max_members = max_members
        self.change_count = 0
        self.caught_up = True  # a member that joins knows at least itself, and claims no more than it knows
        self.tree = MerkleTree()
        self.rejected_count = 0  # records of names beyond the bound

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def __contains__(self, name: object) -> bool:
        return name in self._records

    def __len__(self) -> int:
        return len(self._records)

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a member."""
        return self._records.get(name)

    def state_changed_at(self, name: str) -> float:
        """Return the time at which a member's state changed last."""
        return self._state_since[name]

    def apply(self, now: float, record: MemberRecord) -> bool:
        """Store a record if it is newer; return whether it was."""
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

        Otherwise the view would grow with each name that ever was.
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
        """How many members are alive or suspected."""
        return len(self._records) - len(self._departed)

    def live_members(self) -> list[MemberRecord]:
        """Return the members that are alive or suspected, by name."""
        return sorted((record for record in self if not record.is_departed), key=lambda record: record.name)

    def digest(self) -> str:
        """Return a hash of the live members with addresses and incarnations: equal where two views agree."""
        return self.tree.digest().hex()
