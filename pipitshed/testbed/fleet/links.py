"""Network links with faults: whether and when a datagram or a part of a stream arrives. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

DRIP_CHUNK_BYTES = 64  # bytes that a throttled stream sends between two pauses


@dataclass
class Link:
    """One direction between two parties. Faults may overlap; `faults` holds (kind, amount) of each."""

    name: str
    rng: random.Random
    faults: list[tuple[str, float]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def _most(self, do: str) -> float:
        return max((amount for kind, amount in self.faults if kind == do), default=0.0)

    @property
    def cut(self) -> bool:
        """Whether the link silently drops everything."""
        return any(kind == "cut" for kind, _ in self.faults)

    @property
    def delay(self) -> float:
        """Delay in seconds, with a random jitter."""
        jitter = self._most("jitter")
        return self._most("delay") + (self.rng.uniform(0.0, jitter) if jitter else 0.0)

    @property
    def bytes_per_second(self) -> float:
        """Rate limit of a stream; 0 for no limit."""
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
        """Split `size` bytes of a stream into (bytes, pause in s after them) by the rate limit."""
        bytes_per_second = self.bytes_per_second
        if not bytes_per_second:
            return [(size, 0.0)]
        parts = [DRIP_CHUNK_BYTES] * (size // DRIP_CHUNK_BYTES) + (
            [size % DRIP_CHUNK_BYTES] if size % DRIP_CHUNK_BYTES else []
        )
        return [(part, part / bytes_per_second) for part in parts]


class Links:
    """All links by (from, to), made on first use. Each has its own random generator, so that its faults
    do not depend on the traffic of other links.
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
        """Counts of datagrams, streams, losses, duplicates and reorderings over all links."""
        total: Counter[str] = Counter()
        for link in self._links.values():
            total += link.counts
        return dict(total)
