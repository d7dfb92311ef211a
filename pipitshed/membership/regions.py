"""Where members live, by region: the targets of pushes, and how few messages cross to another region."""

from __future__ import annotations

import math
import random

from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.view import MembershipView

PUSH_FANOUT = 3  # members of the own region to which each one pushes fresh rows


class RegionMap:
    """The regions of a view, as one member sees them."""

    def __init__(self, self_record: MemberRecord, view: MembershipView, rng: random.Random) -> None:
        self._name, self._region = self_record.name, self_record.effective_region
        self._view = view
        self._rng = rng
        self._cached_change_count = -1
        self._cached_addresses: dict[str, list[Address]] = {}

    def _addresses_by_region(self) -> dict[str, list[Address]]:
        """Return the addresses of the other members that are alive."""
        if self._cached_change_count != self._view.change_count:
            addresses: dict[str, list[Address]] = {}
            for record in self._view:
                if record.state is MemberState.ALIVE and record.name != self._name:
                    addresses.setdefault(record.effective_region, []).append(record.address)
            self._cached_change_count, self._cached_addresses = self._view.change_count, addresses
        return self._cached_addresses

    def push_targets(self, written_here: bool) -> list[Address]:
        """Return the members to which fresh rows are pushed.

        These are a few of the own region, and one of each other region for rows that were written here.
        """
        addresses = self._addresses_by_region()
        local = addresses.get(self._region, [])
        targets = self._rng.sample(local, min(PUSH_FANOUT, len(local)))
        if written_here or len(targets) < PUSH_FANOUT:
            targets += [
                self._rng.choice(remote) for region, remote in addresses.items() if region != self._region
            ]
        return targets

    def sends_rows_to(self, receiver: MemberRecord) -> bool:
        """Whether rows go with a probe: seldom to another region, where few receive them and pass them on."""
        region_size = len(self._addresses_by_region().get(self._region, ())) + 1
        return receiver.effective_region == self._region or self._rng.random() * region_size < math.log10(
            len(self._view) + 1
        )
