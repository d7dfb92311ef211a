"""One scheduler's view: the newest word on each member, bounded, with tombstones that end."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from pipitshed.membership.members import Word, rank

MOST_MEMBERS = 4096  # names held at the most, whatever strangers say


class View:
    """The newest word on each member. `number` counts its changes."""

    def __init__(self, tombstones_for: float, most: int = MOST_MEMBERS) -> None:
        self._words: dict[str, Word] = {}
        self._since: dict[str, float] = {}  # s, when the state was taken
        self._gone: set[str] = set()
        self._tombstones_for = tombstones_for
        self._most = most
        self.number = 0
        self._digest: tuple[int, str] = (-1, "")  # of which number
        self.turned_down = 0  # words of names beyond the bound

    def __iter__(self) -> Iterator[Word]:
        return iter(self._words.values())

    def __contains__(self, name: object) -> bool:
        return name in self._words

    def __len__(self) -> int:
        return len(self._words)

    def get(self, name: str) -> Word | None:
        """The word held on a member."""
        return self._words.get(name)

    def since(self, name: str) -> float:
        """When its state was taken (s)."""
        return self._since[name]

    def take(self, now: float, word: Word) -> bool:
        """Take a word where it is newer; whether it was."""
        held = self._words.get(word.name)
        if held is None:
            if len(self._words) >= self._most:
                self.turned_down += 1
                return False
        elif rank(word) <= rank(held):
            return False
        if held is None or (held.state, held.life) != (word.state, word.life):
            self._since[word.name] = now
        self._words[word.name] = word
        (self._gone.add if word.gone else self._gone.discard)(word.name)
        self.number += 1
        return True

    def bury(self, now: float) -> list[str]:
        """Forget those that have been gone for the time of a tombstone, and tell their names. Guards against
        a view that grows with each name that ever was."""
        buried = [name for name in self._gone if now - self._since[name] >= self._tombstones_for]
        for name in buried:
            del self._words[name], self._since[name]
            self._gone.discard(name)
            self.number += 1
        return buried

    @property
    def alive(self) -> int:
        """How many are alive or suspected."""
        return len(self._words) - len(self._gone)

    def living(self) -> list[Word]:
        """Members that are alive or suspected, by name."""
        return sorted((word for word in self if not word.gone), key=lambda word: word.name)

    def digest(self) -> str:
        """A hash of who lives and at which address: equal where two schedulers agree. Suspicions, which come
        and go, and tombstones, which end at each one's own time, are no part of it."""
        if self._digest[0] != self.number:
            self._digest = self.number, digest(self.living())
        return self._digest[1]


def digest(words: Iterable[Word]) -> str:
    """The hash of these members, given by name."""
    told = hashlib.blake2b(digest_size=8)
    for word in words:
        told.update(f"{word.name}\0{word.host}\0{word.port}\0{word.zone}\0{word.life}\n".encode())
    return told.hexdigest()
