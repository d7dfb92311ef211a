"""State that the components of the membership protocol share, and the outbox of instructions."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from pipitshed.membership.instructions import Instruction, SendMessage
from pipitshed.membership.members import Address, MemberRecord
from pipitshed.membership.messages import Message, RepairMessage
from pipitshed.membership.timers import TimerQueue
from pipitshed.membership.timing import LocalHealth, ProtocolTimings
from pipitshed.membership.view import MembershipView
from pipitshed.replication.message_pacing import OutgoingMessage
from pipitshed.replication.messages import Compare, message_size
from pipitshed.replication.replicator import HEADER_BYTES, Replicator
from pipitshed.replication.row_table import RowTable

VIEW_INDEX = 0  # index of the membership view in the replicated tables; the tables of rows follow


@dataclass(slots=True)
class LocalState:
    """The state of one member that all components of its protocol read."""

    self_record: MemberRecord
    timings: ProtocolTimings
    view: MembershipView
    health: LocalHealth
    tables: tuple[RowTable, ...]
    replicator: Replicator
    rng: random.Random
    probe_numbers: Iterator[int]
    timers: TimerQueue
    superseded: bool = False  # a process with this name started later, and is not known to have departed
    leaving: bool = False

    @property
    def is_silent(self) -> bool:
        """Whether this member is leaving or superseded.

        It then starts no exchange over differing digests, and does not refute a record of its own instance.
        """
        return self.leaving or self.superseded

    def sample_peers(self) -> list[Address]:
        """Return up to `timings.helpers` addresses of other live members, drawn at random."""
        own_name = self.self_record.name
        peers = [record.address for record in self.view if not record.is_departed and record.name != own_name]
        return self.rng.sample(peers, min(len(peers), self.timings.helpers))


class Outbox:
    """Collects the instructions to the caller, and charges sent messages to the bandwidth budget."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._instructions: list[Instruction] = []

    def add(self, instruction: Instruction) -> None:
        """Append an instruction to those that `drain` returns."""
        self._instructions.append(instruction)

    def send(self, now: float, to: Address, message: Message, charged_bytes: int = 0) -> None:
        """Send a message even if the budget is exhausted, and charge the budget for its bytes.

        Args:
            now: The time.
            to: The receiver.
            message: The message.
            charged_bytes: Bytes of the message that have already been charged to the budget.
        """
        size = HEADER_BYTES + message_size(message)
        self._local.replicator.budget.charge(now, size - charged_bytes)
        self.add(SendMessage(to, message))

    def send_admitted(self, outgoing: Sequence[OutgoingMessage]) -> None:
        """Send messages of anti-entropy, whose bytes the budget has already admitted."""
        for item in outgoing:
            is_request = isinstance(item.message, Compare) and item.message.wants_answer
            sender = self._local.self_record if is_request else None
            self.add(SendMessage(item.to, RepairMessage(item.message, sender)))

    def drain(self) -> list[Instruction]:
        """Return all instructions, and empty the outbox."""
        instructions, self._instructions = self._instructions, []
        return instructions
