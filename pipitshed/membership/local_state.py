"""What the parts of one member's protocol share: its own state, and the instructions it gives."""

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

VIEW_INDEX = 0  # of the membership view among the replicated tables; the tables of rows follow


@dataclass(slots=True)
class LocalState:
    """The state of one member that all parts of its protocol read."""

    self_record: MemberRecord
    timings: ProtocolTimings
    view: MembershipView
    health: LocalHealth
    tables: tuple[RowTable, ...]
    replicator: Replicator
    rng: random.Random
    probe_numbers: Iterator[int]
    timers: TimerQueue
    superseded: bool = False  # another process has the name, by its record's clock, and is not known as gone
    leaving: bool = False

    @property
    def is_silent(self) -> bool:
        """Whether this member takes no further part in anti-entropy."""
        return self.leaving or self.superseded

    def sample_peers(self) -> list[Address]:
        """Return the addresses of a few live members, drawn at random."""
        own_name = self.self_record.name
        peers = [record.address for record in self.view if not record.is_departed and record.name != own_name]
        return self.rng.sample(peers, min(len(peers), self.timings.helpers))


class Outbox:
    """Collects the instructions to the user of the protocol, and charges what is sent to the budget."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._instructions: list[Instruction] = []

    def add(self, instruction: Instruction) -> None:
        """Add an instruction."""
        self._instructions.append(instruction)

    def send(self, now: float, to: Address, message: Message, charged_bytes: int = 0) -> None:
        """Send a message whatever the budget has left.

        Args:
            now: The time.
            to: The receiver.
            message: The message.
            charged_bytes: Bytes of it that were charged to the budget before.
        """
        size = HEADER_BYTES + message_size(message)
        self._local.replicator.budget.charge(now, size - charged_bytes)
        self.add(SendMessage(to, message))

    def send_admitted(self, outgoing: Sequence[OutgoingMessage]) -> None:
        """Send messages of anti-entropy, which the budget has admitted."""
        for item in outgoing:
            is_request = isinstance(item.message, Compare) and item.message.wants_answer
            sender = self._local.self_record if is_request else None
            self.add(SendMessage(item.to, RepairMessage(item.message, sender)))

    def drain(self) -> list[Instruction]:
        """Return all instructions, and forget them."""
        instructions, self._instructions = self._instructions, []
        return instructions
