"""Logs which settings rows are applied over the settings file, and which are rejected."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any

from pipitshed.config.row_overlay import Overlay, file_value
from pipitshed.replication.row import Row

MAX_LOGGED_ROWS = 8  # applied rows, and as many rejected ones, of one batch

log = logging.getLogger("pipitshed.fleet")


def log_overlay(raw: dict[str, Any], overlaid: Overlay, rows: Sequence[Row]) -> None:
    """Log which of these rows are applied over the file `raw`, and which are rejected."""
    applied = [row for row in rows if row.key not in overlaid.rejected]
    for row in applied[:MAX_LOGGED_ROWS]:
        _log_applied(raw, row)
    if len(applied) > MAX_LOGGED_ROWS:
        more = len(applied) - MAX_LOGGED_ROWS
        log.info("settings rows: %d more applied; see `pipitshed settings show`", more)
    rejected = [row for row in rows if row.key in overlaid.rejected]
    for row in rejected[:MAX_LOGGED_ROWS]:
        _log_rejected(overlaid, row)
    if len(rejected) > MAX_LOGGED_ROWS:
        more = len(rejected) - MAX_LOGGED_ROWS
        log.error("settings rows: %d more rejected; see `pipitshed settings show`", more)


def _log_applied(raw: dict[str, Any], row: Row) -> None:
    log.info(
        "settings row %s: %s (writer %s, version %d.%d); value in the file: %s",
        row.key,
        "deleted" if row.deleted else f"{row.body.decode()} applied",
        row.writer,
        row.term,
        row.number,
        file_value(raw, row.key),
    )


def _log_rejected(overlaid: Overlay, row: Row) -> None:
    previous = overlaid.applied.get(row.key)
    log.error(
        "settings row %s (writer %s, version %d.%d) rejected: %s; %s",
        row.key,
        row.writer,
        row.term,
        row.number,
        overlaid.rejected[row.key],
        f"version {previous.term}.{previous.number} stays applied"
        if previous is not None
        else "the file's value applies",
    )
