"""Assigns numbers to job classes, which stay the same when a file adds, changes or drops classes.

A number stands for a name and a definition, so that a job in progress keeps the class with which it was
accepted. A class that a file adds or changes gets the next number. A dropped class keeps its number and is
accepted for a grace period, because clients learn of dropped classes no sooner than of new ones.

Settings rows may change the limits of a class many times a day. To bound the count of numbers, a number that
no job can have any more is reused for a class of the same name that differs in its limits alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from pipitshed.scheduling.settings import JobClass

NUMBER_REUSE_DELAY_S = 60.0  # after the deadline and the idempotency window of the class
DROPPED_CLASS_GRACE_S = 1.2  # for which a class that a file dropped is still accepted
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ClassChanges:
    """The names of the classes that a file changed."""

    added: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()

    def __str__(self) -> str:
        parts = [
            f"{label} {', '.join(names)}"
            for label, names in (("added", self.added), ("changed", self.changed), ("dropped", self.dropped))
            if names
        ]
        return "; ".join(parts) or "classes unchanged"


@dataclass(frozen=True, slots=True)
class LeavingClass:
    """A class that a file dropped; it is accepted until the loop time `until`, in seconds."""

    number: int
    until: float


@dataclass(frozen=True)
class ClassRegistry:
    """All classes of the files read since the start, by number.

    Attributes:
        classes: The definitions by number.
        names: The names by number.
        accepted: The numbers of the classes of the file in force, by name.
        leaving: The classes that a file dropped, by name.
        unused_since: Numbers that no new job gets, with the loop time since which this holds.
    """

    classes: tuple[JobClass, ...]
    names: tuple[str, ...]
    accepted: dict[str, int]
    leaving: dict[str, LeavingClass] = field(default_factory=dict)
    unused_since: dict[int, float] = field(default_factory=dict)

    @classmethod
    def first(cls, names: Sequence[str], classes: Sequence[JobClass]) -> ClassRegistry:
        """The registry of the first file, whose classes are numbered in the file's order."""
        return cls(tuple(classes), tuple(names), {name: number for number, name in enumerate(names)})

    def dropped(self) -> frozenset[int]:
        """The numbers of classes that the file in force lacks, or defines otherwise."""
        return frozenset(range(len(self.classes))).difference(self.accepted.values())

    def number(self, name: str, now: float) -> int | None:
        """The number for a job of this class at loop time `now`; None where it is not accepted then."""
        number = self.accepted.get(name)
        if number is not None:
            return number
        leaving = self.leaving.get(name)
        return leaving.number if leaving is not None and now < leaving.until else None

    def accepted_at(self, now: float) -> dict[str, int]:
        """The numbers of all classes accepted at loop time `now`, by name."""
        in_grace = {name: leaving.number for name, leaving in self.leaving.items() if now < leaving.until}
        return in_grace | self.accepted

    def updated(
        self,
        names: Sequence[str],
        classes: Sequence[JobClass],
        now: float,
        grace_s: float = DROPPED_CLASS_GRACE_S,
    ) -> tuple[ClassRegistry, ClassChanges]:
        """The registry once a file with these classes is read at loop time `now`, and the classes changed."""
        all_classes, all_names = list(self.classes), list(self.names)
        numbers: list[int] = []
        for name, job_class in zip(names, classes, strict=True):
            number = self._number_for(name, job_class, now, all_classes, all_names)
            if number == len(all_classes):
                all_classes.append(job_class)
                all_names.append(name)
            all_classes[number] = job_class
            numbers.append(number)
        accepted = dict(zip(names, numbers, strict=True))
        leaving = self._leaving(accepted, now, grace_s)
        used = {*accepted.values(), *(entry.number for entry in leaving.values())}
        unused_since = {
            number: self.unused_since.get(number, now)
            for number in range(len(all_classes))
            if number not in used
        }
        registry = ClassRegistry(tuple(all_classes), tuple(all_names), accepted, leaving, unused_since)
        return registry, self._changes(names, numbers, now)

    def _number_for(
        self, name: str, job_class: JobClass, now: float, classes: list[JobClass], names: list[str]
    ) -> int:
        """The known number of this class, else one that can be reused for it, else the next number."""
        for number, known in enumerate(classes):
            if names[number] == name and known == job_class:
                return number
        reusable = self._reusable_number(name, job_class, now)
        return len(classes) if reusable is None else reusable

    def _reusable_number(self, name: str, job_class: JobClass, now: float) -> int | None:
        """A number of this name that no job can have any more, where its class differs in limits alone."""
        for number, since in self.unused_since.items():
            known = self.classes[number]
            job_lifetime_s = (known.deadline_ms + known.idempotency_window_ms) / MS_PER_S
            if (
                self.names[number] == name
                and now - since > job_lifetime_s + NUMBER_REUSE_DELAY_S
                and _with_limits_of(known, job_class) == job_class
            ):
                return number
        return None

    def _leaving(self, accepted: dict[str, int], now: float, grace_s: float) -> dict[str, LeavingClass]:
        """The dropped classes in their grace period, once a file with the classes `accepted` is in force."""
        leaving = {
            name: entry for name, entry in self.leaving.items() if name not in accepted and now < entry.until
        }
        for name, number in self.accepted.items():
            if name not in accepted:
                leaving[name] = LeavingClass(number, now + grace_s)
        return leaving

    def _changes(self, names: Sequence[str], numbers: Sequence[int], now: float) -> ClassChanges:
        added, changed = [], []
        for name, number in zip(names, numbers, strict=True):
            number_before = self.number(name, now)
            if number_before is None:
                added.append(name)
            elif number_before != number:
                changed.append(name)
        dropped = tuple(name for name in self.accepted if name not in names)
        return ClassChanges(tuple(added), tuple(changed), dropped)


def _with_limits_of(job_class: JobClass, source: JobClass) -> JobClass:
    """The class with the limits of another class: the values that settings rows may change."""
    return replace(
        job_class,
        latency_objective_ms=source.latency_objective_ms,
        deadline_ms=source.deadline_ms,
        priority_weight=source.priority_weight,
        late_weight=source.late_weight,
        latency_objective_per_work=source.latency_objective_per_work,
    )
