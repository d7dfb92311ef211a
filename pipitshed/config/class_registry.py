"""The classes in force, numbered for good: a file may add, change and drop them, and a job keeps its number.

A class is numbered by its name and its definition. A class that a file brings anew, or changes, gets the next
number; one that it drops keeps its number, so that jobs under way keep the class that they were taken with,
and is still taken at the door for a grace, as clients hear of the change no sooner than of new classes. A
number that no job can have any more is given anew to its name where the limits alone have changed, as
settings by row may change them many times a day.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from pipitshed.scheduling.settings import JobClass

NUMBER_REUSE_DELAY_S = (
    60.0  # s beyond its deadline and window for which a number that the door no longer gives is left alone
)
DROPPED_CLASS_GRACE_S = (
    1.2  # s for which a class that a file dropped is still taken: new ones come into use so late
)


@dataclass(frozen=True)
class ClassChanges:
    """What a file changed, by name."""

    added: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()

    def __str__(self) -> str:
        parts = [
            f"{what} {', '.join(names)}"
            for what, names in (("added", self.added), ("changed", self.changed), ("dropped", self.dropped))
            if names
        ]
        return "; ".join(parts) or "classes as they were"


@dataclass(frozen=True)
class ClassRegistry:
    """All classes ever in force since the start, by number, and the numbers that the door gives names."""

    classes: tuple[JobClass, ...]
    names: tuple[str, ...]
    accepted: dict[str, int]  # the classes of the file in force
    leaving: dict[str, tuple[int, float]] = field(default_factory=dict)  # dropped: number, taken until
    unused_since: dict[int, float] = field(
        default_factory=dict
    )  # numbers that the door gives no more: since when

    @classmethod
    def first(cls, names: Sequence[str], classes: Sequence[JobClass]) -> ClassRegistry:
        return cls(tuple(classes), tuple(names), {name: place for place, name in enumerate(names)})

    def number(self, name: str, now: float) -> int | None:
        """The number of the class by this name for a job taken at `now`; None where there is none."""
        place = self.accepted.get(name)
        if place is not None:
            return place
        leaving = self.leaving.get(name)
        return leaving[0] if leaving is not None and now < leaving[1] else None

    def accepted_at(self, now: float) -> dict[str, int]:
        """Every name that the door takes at `now`, with its number."""
        return {name: place for name, (place, until) in self.leaving.items() if now < until} | self.accepted

    def updated(
        self,
        names: Sequence[str],
        classes: Sequence[JobClass],
        now: float,
        grace: float = DROPPED_CLASS_GRACE_S,
    ) -> tuple[ClassRegistry, ClassChanges]:
        """The book after a file with these classes, read at `now`."""
        every, called = list(self.classes), list(self.names)
        door: dict[str, int] = {}
        added, changed = [], []
        for name, job_class in zip(names, classes, strict=True):
            before = self.number(name, now)
            same = next(
                (place for place in range(len(every)) if called[place] == name and every[place] == job_class),
                None,
            )
            if same is None:
                same = self._rested(name, job_class, now)
                if same is None:
                    same = len(every)
                    every.append(job_class)
                    called.append(name)
                every[same] = job_class
            door[name] = same
            if before is None:
                added.append(name)
            elif before != same:
                changed.append(name)
        leaving = {name: entry for name, entry in self.leaving.items() if name not in door and now < entry[1]}
        dropped = [name for name in self.accepted if name not in door]
        for name in dropped:
            leaving[name] = (self.accepted[name], now + grace)
        given = {*door.values(), *(place for place, _ in leaving.values())}
        idle = {place: self.unused_since.get(place, now) for place in range(len(every)) if place not in given}
        return (
            ClassRegistry(tuple(every), tuple(called), door, leaving, idle),
            ClassChanges(tuple(added), tuple(changed), tuple(dropped)),
        )

    def _rested(self, name: str, job_class: JobClass, now: float) -> int | None:
        """A number of this name that no job can have any more, whose class differs in its limits alone."""
        for place, since in self.unused_since.items():
            held = self.classes[place]
            if (
                self.names[place] == name
                and now - since
                > (held.deadline_ms + held.idempotency_window_ms) / 1000 + NUMBER_REUSE_DELAY_S
                and replace(
                    held,
                    latency_objective_ms=job_class.latency_objective_ms,
                    deadline_ms=job_class.deadline_ms,
                    priority_weight=job_class.priority_weight,
                    late_weight=job_class.late_weight,
                    latency_objective_per_work=job_class.latency_objective_per_work,
                )
                == job_class
            ):
                return place
        return None
