"""The way from one party to another: what faults are on it, and what becomes of what passes. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

DRIP_CHUNK = 64  # bytes


@dataclass
class Link:
    """One direction between two parties. Faults of one kind stack; each is taken off as it was put on."""

    name: str
    rng: random.Random
    faults: list[tuple[str, float]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def _most(self, do: str) -> float:
        return max((amount for kind, amount in self.faults if kind == do), default=0.0)

    @property
    def cut(self) -> bool:
        """Whether nothing passes, and nobody is told."""
        return any(kind == "cut" for kind, _ in self.faults)

    @property
    def delay(self) -> float:
        """Seconds that what passes now takes."""
        jitter = self._most("jitter")
        return self._most("delay") + (self.rng.uniform(0.0, jitter) if jitter else 0.0)

    @property
    def bytes_per_second(self) -> float:
        """Bytes a second on a stream; 0 for no bound."""
        return min((amount for kind, amount in self.faults if kind == "drip"), default=0.0)

    def datagram(self) -> list[float]:
        """The delays (s) with which a datagram's copies arrive; none where it is lost."""
        self.counts["datagrams"] += 1
        if self.cut or self.rng.random() < self._most("loss"):
            self.counts["lost"] += 1
            return []
        copies = [self.delay]
        if self.rng.random() < self._most("duplicate"):
            self.counts["doubled"] += 1
            copies.append(self.delay + self.rng.uniform(0.0, 0.05))
        if self.rng.random() < self._most("reorder"):
            self.counts["reordered"] += 1
            copies[0] += self.rng.uniform(0.02, 0.15)
        return copies

    def throttled(self, size: int) -> list[tuple[int, float]]:
        """How so many bytes of a stream go on: parts, and the pause (s) behind each."""
        bytes_per_second = self.bytes_per_second
        if not bytes_per_second:
            return [(size, 0.0)]
        parts = [DRIP_CHUNK] * (size // DRIP_CHUNK) + ([size % DRIP_CHUNK] if size % DRIP_CHUNK else [])
        return [(part, part / bytes_per_second) for part in parts]


class Links:
    """All directed pairs, made as they are asked for. Each has its own dice, so that what happens on one does
    not depend on how much passes on another.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._links: dict[tuple[str, str], Link] = {}

    def __getitem__(self, pair: tuple[str, str]) -> Link:
        if pair not in self._links:
            name = f"{pair[0]}>{pair[1]}"
            self._links[pair] = Link(name, random.Random(f"{self._seed}:{name}"))
        return self._links[pair]

    def counts(self) -> dict[str, int]:
        """What happened on all of them."""
        total: Counter[str] = Counter()
        for link in self._links.values():
            total += link.counts
        return dict(total)
