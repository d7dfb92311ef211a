"""Where others live, by region: whom fresh rows are pushed to, and how few messages cross to another."""

from __future__ import annotations

import math
import random

from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.view import MembershipView

PUSH_FANOUT = 3  # in the own region, that each tells fresh rows before anybody asks


class RegionMap:
    """The regions of a view, as one member sees them."""

    def __init__(self, me: MemberRecord, view: MembershipView, rng: random.Random) -> None:
        self._name, self._area = me.name, me.effective_region
        self._view = view
        self._rng = rng
        self._held: tuple[int, dict[str, list[Address]]] = (-1, {})  # the view's number, who lives where

    def _by_area(self) -> dict[str, list[Address]]:
        if self._held[0] != self._view.change_count:
            areas: dict[str, list[Address]] = {}
            for word in self._view:
                if word.state is MemberState.ALIVE and word.name != self._name:
                    areas.setdefault(word.effective_region, []).append(word.address)
            self._held = self._view.change_count, areas
        return self._held[1]

    def push_targets(self, put_here: bool) -> list[Address]:
        """Whom fresh rows are pushed to: some in the own region; of what was put here one in each other."""
        areas = self._by_area()
        near = areas.get(self._area, [])
        peers = self._rng.sample(near, min(PUSH_FANOUT, len(near)))
        if put_here or len(peers) < PUSH_FANOUT:
            peers += [self._rng.choice(area) for name, area in areas.items() if name != self._area]
        return peers

    def carries_rows_to(self, to: MemberRecord) -> bool:
        """Whether rows go along with a probe: seldom to another region, where few are told and tell on."""
        near = len(self._by_area().get(self._area, ())) + 1
        return to.effective_region == self._area or self._rng.random() * near < math.log10(
            len(self._view) + 1
        )
