"""Settings by row at one scheduler: held in a table that the fleet spreads, kept in a file, laid over the
settings file, and written for operators who ask.
"""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import math
import random
import secrets
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from pipitshed.cluster import row_store as rowsfile
from pipitshed.cluster.messages import (
    AskForce,
    ClusterMessage,
    Force,
    Put,
    PutDone,
    Settings,
    ShownRow,
    ShownRows,
    ShowRows,
    Status,
)
from pipitshed.cluster.row_store import StoredRows
from pipitshed.config.errors import RowRejectedError
from pipitshed.config.row_overlay import Overlay, check, file_value, overlay
from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.replication.acting import AppliedQuery, AppliedReport, AppliedState, Confirmations
from pipitshed.replication.row import Row
from pipitshed.replication.rows import RowError, RowTable

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig
    from pipitshed.cluster.event_log import EventLog
    from pipitshed.membership.protocol import Membership

NAME = "settings"
MOST_ROWS, MOST_BYTES, ROW_LIMIT = 4096, 512 << 10, 300  # bytes
ALONE = 10.0  # s after the start from which a scheduler that meets nobody takes changes
SHOWN = 64  # bytes of a row's own value that `settings show` tells
LOGGED = 8  # rows of one batch that the log names

log = logging.getLogger("pipitshed.fleet")
Reply = Callable[[ClusterMessage], None]


@dataclass(frozen=True)
class SettingsTarget:
    """The scheduler whose settings the rows change."""

    raw: Callable[[], dict[str, Any]]  # the file in force, as it was read
    retune: Callable[[dict[str, Any]], object]  # take its settings with other values in them
    fixed: frozenset[str] = frozenset()  # classes that it can't change while it runs


class Carrier(Protocol):
    """What carries rows to the others."""

    @property
    def membership(self) -> Membership:
        """Who lives."""

    def send(self, to: Address, message: ClusterMessage) -> None:
        """Send a datagram."""

    def reply(self, source: Address) -> Reply | None:
        """What answers the stream that is being heard, now or later; None where it is none."""

    def spread(self, row: Row) -> None:
        """Tell the others of a row that was written here."""

    def count(self, what: str) -> None:
        """Count it."""


class ReplicatedSettings:
    """The table, what is acted on, and who else acts on it. Rows are taken up a batch at a time: kept in the
    file first, so that no later start acts on older ones, then acted on in one go, then confirmed.
    """

    def __init__(
        self,
        peers: ClusterConfig,
        me: MemberRecord,
        tuned: SettingsTarget,
        carrier: Carrier,
        loop: asyncio.AbstractEventLoop,
        events: EventLog,
    ) -> None:
        self.table = RowTable(NAME, MOST_ROWS, MOST_BYTES, ROW_LIMIT)
        self._me, self._tuned, self._carrier, self._loop, self._events = me, tuned, carrier, loop, events
        self._path, self._secret = peers.rows_file, bool(peers.secret)
        self._confirmations = Confirmations(
            me.name, me.instance_id, self.table, random.Random(secrets.randbits(64))
        )
        self._lives: tuple[int, dict[str, int]] = (-1, {})  # of which number of the view
        self._since = loop.time()
        self._busy = self._changed = self._closed = False
        self._unsaved = ""
        self._replies: list[tuple[Row, Reply]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._due = math.inf  # loop time of that timer

    def begin(self) -> None:
        """Act on the rows that the file kept."""
        kept = rowsfile.read(self._path) if self._path is not None else StoredRows()
        for row in kept.rows:
            self.table.apply(row)
        if kept.rows:
            self._act(
                tuple(self.table), self.table.digest(), {row.key: row for row in kept.previously_applied}
            )
        self._loop.call_later(ALONE, self._alone)

    def _alone(self) -> None:
        """Guards a fleet of one whose seeds are gone against never taking a change."""
        if not self.table.caught_up and len(self._living()) <= 1:
            log.warning("no other scheduler met in %.0f s: settings are taken as in a fleet of one", ALONE)
            self.table.caught_up = True

    def _living(self) -> dict[str, int]:
        """Who lives, and in which life; made anew only where the view has changed, as many tell at once."""
        view = self._carrier.membership.view
        if self._lives[0] != view.change_count:
            self._lives = view.change_count, {word.name: word.instance_id for word in view.live_members()}
        return self._lives[1]

    # ---- rows taken up

    def news(self, rows: Iterable[Row]) -> None:
        """Rows have come that the table took."""
        for row in rows:
            self._event("taken", row)
        self._take_up()

    def _event(self, do: str, row: Row) -> None:
        self._events.write("row", do=do, key=row.key, term=row.term, number=row.number, writer=row.writer)

    def _take_up(self) -> None:
        """Act on what the table holds in a turn to come; what comes until then comes in the same batch."""
        self._changed = True
        if not self._busy and not self._closed:
            self._busy = True
            self._loop.call_soon(self._keep)

    def _keep(self) -> None:
        """Write the rows to the file, in a thread as a disk may be slow, and act on them behind it."""
        self._changed = False
        rows, digest = tuple(self.table), self.table.digest()
        if self._path is None:
            self._kept(rows, digest, None)
            return
        newest = {row.key: row for row in rows}
        acted = self._confirmations.state.acted
        stood = tuple(row for key, row in acted.items() if newest.get(key) != row)
        writing = self._loop.run_in_executor(None, rowsfile.write, self._path, StoredRows(rows, stood))
        writing.add_done_callback(partial(self._kept, rows, digest))

    def _kept(self, rows: tuple[Row, ...], digest: bytes, writing: asyncio.Future[None] | None) -> None:
        self._busy = False
        if self._closed:
            return
        error = writing.exception() if writing is not None else None
        if error is not None and str(error) != self._unsaved:
            log.error("rows are acted on, but not kept for the next start: %s", error)
        self._unsaved = str(error) if error is not None else ""
        self._act(rows, digest, self._confirmations.state.acted)
        if self._changed:
            self._take_up()

    def _act(self, rows: tuple[Row, ...], digest: bytes, stood: Mapping[str, Row]) -> None:
        before = self._confirmations.state.acted
        laid = self._lay(self._tuned.raw(), rows, digest, stood)
        if laid.applied != before:
            self._tuned.retune(laid.raw["settings"])
        for row, reply in self._replies:
            reply(PutDone(self._me.name, "", row.term, row.number))
        self._replies.clear()

    def over(self, raw: dict[str, Any]) -> dict[str, Any]:
        """The settings of a file that is read anew, with the rows over them."""
        state = self._confirmations.state
        if not state.held:
            settings: dict[str, Any] = raw["settings"]
            return settings
        laid = self._lay(raw, tuple(state.held.values()), state.digest, state.acted, anew=True)
        return laid.raw["settings"]  # type: ignore[no-any-return]

    def _lay(
        self,
        raw: dict[str, Any],
        rows: tuple[Row, ...],
        digest: bytes,
        stood: Mapping[str, Row],
        anew: bool = False,
    ) -> Overlay:
        """Rows over a file; who has to know is told, and so is the log."""
        laid, before = overlay(raw, rows, stood, self._tuned.fixed), self._confirmations.state
        changed = [
            row
            for row in rows
            if row != before.held.get(row.key) or laid.rejected.get(row.key) != before.refused.get(row.key)
        ]
        now = self._loop.time()
        if changed:
            self._since = now
        state = AppliedState(digest, {row.key: row for row in rows}, laid.applied, laid.rejected)
        self._confirmations.acts(now, state, changed, len(self._living()))
        acted = [laid.applied[row.key] for row in changed if row.key in laid.applied]
        self._events.write(
            "acting",
            digest=digest.hex(),
            rows=[[row.key, row.term, row.number] for row in acted],
            refused=[[row.key, laid.rejected[row.key]] for row in changed if row.key in laid.rejected],
        )
        _log(raw, laid, rows if anew else changed)
        self._arm()
        return laid

    # ---- what others tell and ask

    def hear(self, message: Settings, source: Address) -> None:
        """Take a message."""
        if isinstance(message, AppliedReport):
            self._confirmations.heard(message, self._living())
            return
        if isinstance(message, AppliedQuery):
            self._send(message.sender, self._confirmations.asked(message))
            return
        reply = self._carrier.reply(source)
        if reply is None:
            self._carrier.count("dropped_settings")  # operators ask over a stream
        elif isinstance(message, Put):
            self._put(message, source, reply)
        elif isinstance(message, ShowRows):
            reply(self._shown(message.key))
        elif isinstance(message, AskForce):
            reply(self._force(message))
        else:
            reply(self._status())

    def _put(self, message: Put, source: Address, reply: Reply) -> None:
        """Write a row, and answer once it is kept and acted on here."""
        try:
            if not self._secret and not ipaddress.ip_address(source[0]).is_loopback:
                raise RowError("without a secret-file settings are taken from this machine alone")
            membership, held = self._carrier.membership, self.table.get(message.key)
            if membership.superseded or membership.leaving:
                raise RowError("this scheduler is no longer in the fleet")
            if message.over != ((held.term, held.number) if held is not None else (0, 0)):
                raise RowError(f"{message.key} has changed meanwhile: look at it, and put it again")
            if message.body is None:
                row = self.table.delete(message.key, self._me.name, message.take_over)
            else:
                row = Row(message.key, 1, 1, self._me.name, message.body)
                check(self._tuned.raw(), row, self._tuned.fixed)
                row = self.table.put(message.key, message.body, self._me.name, message.take_over)
        except (RowError, RowRejectedError) as error:
            reply(PutDone(self._me.name, str(error)))
            return
        self._event("delete" if row.deleted else "put", row)
        self._confirmations.watch(self._loop.time(), row)
        self._replies.append((row, reply))
        self._carrier.spread(row)
        self._take_up()

    def _shown(self, key: str) -> ShownRows:
        held = self.table.get(key)
        rows = tuple(self.table) if not key else (held,) if held is not None else ()
        raw, state = self._tuned.raw(), self._confirmations.state

        def shown(row: Row) -> ShownRow:
            file, acted = file_value(raw, row.key), state.acted.get(row.key)
            value = file if acted is None or acted.deleted else float(acted.body)
            return ShownRow(
                row.key,
                value,
                file,
                row.body[:SHOWN].decode("utf-8", "replace"),
                row.term,
                row.number,
                row.writer,
                row.deleted,
                state.refused.get(row.key, ""),
            )

        return ShownRows(self._me.name, tuple(shown(row) for row in sorted(rows, key=lambda row: row.key)))

    def _force(self, message: AskForce) -> Force:
        """Whether a row is in force. It says so only of a row that is still held, and where every living
        member has confirmed this row, in its present life.
        """
        view = self._carrier.membership.view
        gone = tuple(sorted(word.name for word in view if word.state is MemberState.DEAD))
        row, living = self.table.get(message.key), self._living()
        if row is None or (row.term, row.number) != (message.term, message.number):
            other = f"{row.term}.{row.number} of {row.writer}" if row is not None else "no row"
            return Force(False, (), (), gone, other)
        standing = self._confirmations.standing(self._loop.time(), row, living)
        self._arm()
        # Guards one that has just started against speaking for a fleet of which it knows a part.
        agrees = self._carrier.membership.replicator.agree
        if not self.table.caught_up or (len(living) > 1 and not any(agrees(name) for name in living)):
            missing = dict(standing.missing) | {self._me.name: ""}
            return Force(False, standing.appliers, tuple(missing.items()), gone)
        if standing.in_force:
            self._events.write(
                "in_force",
                key=row.key,
                term=row.term,
                number=row.number,
                acting=[[name, living[name]] for name in standing.appliers],
                gone=gone,
            )
        return Force(standing.in_force, standing.appliers, standing.missing, gone)

    def _status(self) -> Status:
        state, view = self._confirmations.state, self._carrier.membership.view
        members = tuple(
            (word.name, f"{word.host}:{word.port}", word.state.name.lower())
            for word in sorted(view, key=lambda word: word.name)
        )
        return Status(
            self._me.name,
            state.digest.hex(),
            len(state.held),
            round(self._loop.time() - self._since, 3),
            self.table.caught_up,
            self._unsaved,
            tuple(sorted(state.refused.items())),
            members,
        )

    def figures(self) -> dict[str, int]:
        """What `/-/metrics` tells of them."""
        told = {f"rows_{name.replace('-', '_')}": count for name, count in self.table.counts.items()}
        return told | {
            "rows": len(self.table),
            "rows_refused": len(self._confirmations.state.refused),
            "rows_unsaved": int(bool(self._unsaved)),
        }

    # ---- time

    def _send(self, name: str, message: AppliedReport | AppliedQuery) -> None:
        word = self._carrier.membership.view.get(name)
        if word is not None and not word.is_departed:
            self._carrier.send(word.address, message)

    def _arm(self) -> None:
        """Wake when something is to be told or asked; an earlier wake stands."""
        due = self._confirmations.due()
        if self._closed or due == math.inf or (self._timer is not None and self._due <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_at(due, self._step)

    def _step(self) -> None:
        self._timer = None
        for name, message in self._confirmations.tick(self._loop.time(), self._living()):
            self._send(name, message)
        self._arm()

    def close(self) -> None:
        """Nothing more is acted on."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()


def _log(raw: dict[str, Any], laid: Overlay, rows: Sequence[Row]) -> None:
    """Say which rows stand over what the file says, and which are refused."""
    acted = [row for row in rows if row.key not in laid.rejected]
    for row in acted[:LOGGED]:
        told = "deleted" if row.deleted else f"{row.body.decode()} stands"
        log.info(
            "settings by row: %s: %s (%s, %d.%d); the file says %s",
            row.key,
            told,
            row.writer,
            row.term,
            row.number,
            file_value(raw, row.key),
        )
    if len(acted) > LOGGED:
        log.info("settings by row: and %d more: `pipitshed settings show`", len(acted) - LOGGED)
    refused = [row for row in rows if row.key in laid.rejected]
    for row in refused[:LOGGED]:
        old = laid.applied.get(row.key)
        log.error(
            "settings by row: %s (%s, %d.%d) is refused: %s; %s",
            row.key,
            row.writer,
            row.term,
            row.number,
            laid.rejected[row.key],
            f"{old.term}.{old.number} stands" if old is not None else "the file's value stands",
        )
    if len(refused) > LOGGED:
        log.error("settings by row: and %d more refused: `pipitshed settings show`", len(refused) - LOGGED)
