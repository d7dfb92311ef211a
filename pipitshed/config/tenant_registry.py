"""Assigns numbers to tenants, which stay the same when a file adds, reorders or drops tenants.

The dispatcher counts jobs by tenant number; requests and Gearman functions hold the number.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass

from pipitshed.scheduling.settings import Tenant, TenantNumbers

_DROPPED_TENANT = Tenant(quota_share=0.0, quota_per_s=0.0)


@dataclass(frozen=True, slots=True)
class TenantRegistry:
    """All tenants of the files read since the start.

    Attributes:
        names: The tenants' names by number.
        numbers: The numbers of the tenants of the file in force, in the file's order.
    """

    names: tuple[str, ...]
    numbers: tuple[int, ...]

    @classmethod
    def first(cls, names: Sequence[str]) -> TenantRegistry:
        """The registry of the first file, whose tenants are numbered in the file's order."""
        return cls(tuple(names), tuple(range(len(names))))

    def updated(self, names: Sequence[str]) -> TenantRegistry:
        """The registry with another file in force: a known name keeps its number, a new one gets the next."""
        known: defaultdict[str, deque[int]] = defaultdict(deque)
        for number, name in enumerate(self.names):
            known[name].append(number)
        all_names = list(self.names)
        numbers = []
        for name in names:
            if known[name]:
                numbers.append(known[name].popleft())
            else:
                numbers.append(len(all_names))
                all_names.append(name)
        return TenantRegistry(tuple(all_names), tuple(numbers))

    def accepted(self) -> TenantNumbers:
        """The numbers of the tenants of the file in force, by name; all other names share the next number."""
        return TenantNumbers({self.names[number]: number for number in self.numbers}, len(self.names))

    def by_number(self, tenants: Sequence[Tenant]) -> tuple[Tenant, ...]:
        """The given tenants of the file in force by number; dropped tenants get a share and quota of 0."""
        tenant_by_number = dict(zip(self.numbers, tenants, strict=True))
        return tuple(tenant_by_number.get(number, _DROPPED_TENANT) for number in range(len(self.names)))
