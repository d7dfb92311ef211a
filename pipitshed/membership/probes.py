"""What is held of a probe that is out, and of a suspicion that runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from pipitshed.membership.members import MemberRecord


@dataclass(slots=True)
class Probe:
    """A probe that is out, of this scheduler's own round or for another that asked for help."""

    target: MemberRecord
    asked_by: MemberRecord | None = None  # whom the answer is passed to
    their_number: int = 0
    helpers: int = 0  # asked, each of which owes an answer or a no
    noes: int = 0


@dataclass(slots=True)
class Suspicion:
    """Since when one is suspected, and who said so."""

    record: MemberRecord
    since: float
    reporters: set[str] = field(default_factory=set)
