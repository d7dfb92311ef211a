"""Log lines about settings rows laid over a file: which are applied, and which are rejected."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any

from pipitshed.config.row_overlay import Overlay, file_value
from pipitshed.replication.row import Row

MAX_LOGGED_ROWS = 8  # of one batch

log = logging.getLogger("pipitshed.fleet")


def log_overlay(raw: dict[str, Any], laid: Overlay, rows: Sequence[Row]) -> None:
    """Log the outcome of laying these rows over the file `raw`."""
    applied = [row for row in rows if row.key not in laid.rejected]
    for row in applied[:MAX_LOGGED_ROWS]:
        _log_applied(raw, row)
    if len(applied) > MAX_LOGGED_ROWS:
        more = len(applied) - MAX_LOGGED_ROWS
        log.info("settings by row: and %d more: `pipitshed settings show`", more)
    rejected = [row for row in rows if row.key in laid.rejected]
    for row in rejected[:MAX_LOGGED_ROWS]:
        _log_rejected(laid, row)
    if len(rejected) > MAX_LOGGED_ROWS:
        more = len(rejected) - MAX_LOGGED_ROWS
        log.error("settings by row: and %d more refused: `pipitshed settings show`", more)


def _log_applied(raw: dict[str, Any], row: Row) -> None:
    log.info(
        "settings by row: %s: %s (%s, %d.%d); the file says %s",
        row.key,
        "deleted" if row.deleted else f"{row.body.decode()} stands",
        row.writer,
        row.term,
        row.number,
        file_value(raw, row.key),
    )


def _log_rejected(laid: Overlay, row: Row) -> None:
    previous = laid.applied.get(row.key)
    log.error(
        "settings by row: %s (%s, %d.%d) is refused: %s; %s",
        row.key,
        row.writer,
        row.term,
        row.number,
        laid.rejected[row.key],
        f"{previous.term}.{previous.number} stands" if previous is not None else "the file's value stands",
    )
