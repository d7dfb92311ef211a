"""Members by region: selects the targets of pushes, and limits the rows sent to other regions."""

from __future__ import annotations

import math
import random

from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.view import MembershipView

PUSH_FANOUT = 3  # members of its own region to which each member pushes fresh rows


class RegionMap:
    """The members of one member's view, grouped by region."""

    def __init__(self, self_record: MemberRecord, view: MembershipView, rng: random.Random) -> None:
        self._name, self._region = self_record.name, self_record.effective_region
        self._view = view
        self._rng = rng
        self._cached_change_count = -1
        self._cached_addresses: dict[str, list[Address]] = {}

    def _addresses_by_region(self) -> dict[str, list[Address]]:
        """Return the addresses of the other alive members by region, cached until the view changes."""
        if self._cached_change_count != self._view.change_count:
            addresses: dict[str, list[Address]] = {}
            for record in self._view:
                if record.state is MemberState.ALIVE and record.name != self._name:
                    addresses.setdefault(record.effective_region, []).append(record.address)
            self._cached_change_count, self._cached_addresses = self._view.change_count, addresses
        return self._cached_addresses

    def push_targets(self, written_here: bool) -> list[Address]:
        """Return the addresses of the members to which fresh rows are pushed.

        These are a few members of this region. One member of each other region is added if this member wrote
        the rows, or if this region has fewer than `PUSH_FANOUT` other members.
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
        """Whether a probe carries rows: seldom to another region, where the few receivers pass them on."""
        region_size = len(self._addresses_by_region().get(self._region, ())) + 1
        return receiver.effective_region == self._region or self._rng.random() * region_size < math.log10(
            len(self._view) + 1
        )
