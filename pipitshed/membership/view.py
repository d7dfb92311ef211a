"""One scheduler's view: the newest word on each member, bounded, with tombstones that end."""

from __future__ import annotations

from collections.abc import Iterator

from pipitshed.membership.members import MemberRecord, precedence
from pipitshed.replication.merkle_tree import MerkleTree

MAX_MEMBERS = 4096  # names held at the most, whatever strangers say


class MembershipView:
    """The newest word on each member. `number` counts its changes."""

    def __init__(self, tombstones_for: float, most: int = MAX_MEMBERS) -> None:
        self._words: dict[str, MemberRecord] = {}
        self._since: dict[str, float] = {}  # s, when the state was taken
        self._gone: set[str] = set()
        self._tombstones_for = tombstones_for
        self._most = most
        self.change_count = 0
        self.caught_up = True  # whoever joins knows at least of itself, and says no more than it knows
        self.tree = MerkleTree()
        self.rejected_count = 0  # words of names beyond the bound

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._words.values())

    def __contains__(self, name: object) -> bool:
        return name in self._words

    def __len__(self) -> int:
        return len(self._words)

    def get(self, name: str) -> MemberRecord | None:
        """The word held on a member."""
        return self._words.get(name)

    def since(self, name: str) -> float:
        """When its state was taken (s)."""
        return self._since[name]

    def apply(self, now: float, word: MemberRecord) -> bool:
        """Take a word where it is newer; whether it was."""
        held = self._words.get(word.name)
        if held is None:
            if len(self._words) >= self._most:
                self.rejected_count += 1
                return False
        elif precedence(word) <= precedence(held):
            return False
        if held is None or (held.state, held.instance_id) != (word.state, word.instance_id):
            self._since[word.name] = now
        self._words[word.name] = word
        self.tree.put(word.name, word.content_hash)
        (self._gone.add if word.is_departed else self._gone.discard)(word.name)
        self.change_count += 1
        return True

    def forget_departed(self, now: float) -> list[str]:
        """Forget those that have been gone for the time of a tombstone, and tell their names. Guards against
        a view that grows with each name that ever was.
        """
        buried = [name for name in self._gone if now - self._since[name] >= self._tombstones_for]
        for name in buried:
            del self._words[name], self._since[name]
            self.tree.drop(name)
            self._gone.discard(name)
            self.change_count += 1
        return buried

    @property
    def live_count(self) -> int:
        """How many are alive or suspected."""
        return len(self._words) - len(self._gone)

    def live_members(self) -> list[MemberRecord]:
        """Members that are alive or suspected, by name."""
        return sorted((word for word in self if not word.is_departed), key=lambda word: word.name)

    def digest(self) -> str:
        """A hash of who lives, at which address and incarnation: equal where two schedulers agree."""
        return self.tree.digest().hex()
