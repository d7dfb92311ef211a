"""Answers operators' requests about settings rows: write a row, show rows, and ask which are applied."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

from pipitshed.cluster.messages import (
    AppliedStatusRequest,
    AppliedStatusResponse,
    CommitStatusRequest,
    CommitStatusResponse,
    Put,
    PutResponse,
    RowDetails,
    RowsRequest,
    RowsResponse,
)
from pipitshed.config.errors import RowRejectedError
from pipitshed.config.row_overlay import check, file_value
from pipitshed.membership.members import Address, MemberState
from pipitshed.replication.commit_tracking import AppliedState, CommitStatus, LiveInstances
from pipitshed.replication.row import Row
from pipitshed.replication.row_table import RowError

if TYPE_CHECKING:
    from pipitshed.cluster.settings import ReplicatedSettings, Reply

MAX_SHOWN_VALUE_BYTES = 64
DURATION_DIGITS = 3  # decimals of seconds
NO_ROW_VERSION = (0, 0)


class SettingsCommands:
    """Answers the operators' requests about the settings of one scheduler."""

    def __init__(self, settings: ReplicatedSettings) -> None:
        self._settings = settings
        self._table = settings.table
        self._confirmations = settings.confirmations

    def handle(
        self,
        message: Put | RowsRequest | CommitStatusRequest | AppliedStatusRequest,
        source: Address,
        reply: Reply,
    ) -> None:
        """Answer one request, a `Put` only once its row is stored and applied."""
        if isinstance(message, Put):
            self.put(message, source, reply)
        elif isinstance(message, RowsRequest):
            reply(self.show(message.key))
        elif isinstance(message, CommitStatusRequest):
            reply(self.commit_status(message))
        else:
            reply(self.status())

    def put(self, message: Put, source: Address, reply: Reply) -> None:
        """Write or delete a row; if it is rejected, answer with the reason."""
        try:
            row = self._write(message, source)
        except (RowError, RowRejectedError) as error:
            reply(PutResponse(self._settings.name, str(error)))
            return
        self._settings.row_written(row, reply)

    def show(self, key: str) -> RowsResponse:
        """Return the row of this key, or all rows if the key is empty."""
        row = self._table.get(key)
        rows = tuple(self._table) if not key else (row,) if row is not None else ()
        file, state = self._settings.target.file(), self._confirmations.state
        details = tuple(_row_details(row, file, state) for row in sorted(rows, key=lambda row: row.key))
        return RowsResponse(self._settings.name, details)

    def commit_status(self, message: CommitStatusRequest) -> CommitStatusResponse:
        """Return whether all live members apply a row.

        Only a row that is still in the table can be applied by all: each live member must have confirmed
        exactly this row, in its current instance.
        """
        view = self._settings.transport.membership.view
        failed = tuple(sorted(member.name for member in view if member.state is MemberState.DEAD))
        row = self._table.get(message.key)
        if row is None or (row.term, row.number) != (message.term, message.number):
            successor = f"{row.term}.{row.number} of {row.writer}" if row is not None else "no row"
            return CommitStatusResponse(False, (), (), failed, successor)
        live = self._settings.live_instances()
        row_status = self._confirmations.status(self._settings.loop.time(), row, live)
        self._settings.schedule()
        if not self._knows_cluster(live):
            missing = dict(row_status.missing) | {self._settings.name: ""}
            return CommitStatusResponse(False, row_status.appliers, tuple(missing.items()), failed)
        if row_status.in_force:
            self._log_committed(row, row_status, live, failed)
        return CommitStatusResponse(row_status.in_force, row_status.appliers, row_status.missing, failed)

    def status(self) -> AppliedStatusResponse:
        """Return the rows that this scheduler applies, and the members that it knows."""
        settings, state = self._settings, self._confirmations.state
        view = settings.transport.membership.view
        members = tuple(
            (member.name, f"{member.host}:{member.port}", member.state.name.lower())
            for member in sorted(view, key=lambda member: member.name)
        )
        return AppliedStatusResponse(
            name=settings.name,
            digest=state.digest.hex(),
            rows=len(state.rows),
            for_s=round(settings.loop.time() - settings.applied_since, DURATION_DIGITS),
            caught_up=self._table.caught_up,
            unsaved=settings.store_error,
            refused=tuple(sorted(state.rejected.items())),
            members=members,
        )

    def _write(self, message: Put, source: Address) -> Row:
        if not self._settings.has_secret and not ipaddress.ip_address(source[0]).is_loopback:
            raise RowError("without a secret-file, changes of settings are accepted only from this machine")
        membership = self._settings.transport.membership
        if membership.superseded or membership.leaving:
            raise RowError("this scheduler is no longer in the fleet")
        current = self._table.get(message.key)
        version = (current.term, current.number) if current is not None else NO_ROW_VERSION
        if message.over != version:
            raise RowError(f"{message.key} has changed since it was read: show the row, and put it again")
        name, target = self._settings.name, self._settings.target
        if message.body is None:
            return self._table.delete(message.key, name, message.take_over)
        check(target.file(), Row(message.key, 1, 1, name, message.body))
        return self._table.put(message.key, message.body, name, message.take_over)

    def _knows_cluster(self, live: LiveInstances) -> bool:
        """Whether this scheduler may answer for the cluster: one that just started knows a part of it."""
        agrees = self._settings.transport.membership.replicator.agrees_with
        return self._table.caught_up and (len(live) <= 1 or any(agrees(name) for name in live))

    def _log_committed(
        self, row: Row, row_status: CommitStatus, live: LiveInstances, failed: tuple[str, ...]
    ) -> None:
        self._settings.events.write(
            "in_force",
            key=row.key,
            term=row.term,
            number=row.number,
            acting=[[name, live[name]] for name in row_status.appliers],
            gone=failed,
        )


def _row_details(row: Row, file: dict[str, Any], state: AppliedState) -> RowDetails:
    value_in_file, applied = file_value(file, row.key), state.applied.get(row.key)
    return RowDetails(
        key=row.key,
        value=value_in_file if applied is None or applied.deleted else float(applied.body),
        file=value_in_file,
        asked=row.body[:MAX_SHOWN_VALUE_BYTES].decode("utf-8", "replace"),
        term=row.term,
        number=row.number,
        writer=row.writer,
        deleted=row.deleted,
        refused=state.rejected.get(row.key, ""),
    )
