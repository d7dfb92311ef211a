"""`pipitshed settings`: change settings rows at any live scheduler, and wait until all members apply them."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import click
import msgspec

from pipitshed.cli.client import SchedulerTarget, request_or_exit, resolve_target, target_options
from pipitshed.cli.settings_status import collect_status, status_json, status_text
from pipitshed.cli.text_table import table_lines
from pipitshed.cluster.messages import (
    CommitStatusRequest,
    CommitStatusResponse,
    Put,
    PutResponse,
    RowDetails,
    RowsRequest,
    RowsResponse,
)

EXIT_IN_FORCE = 0
EXIT_REJECTED = 2
EXIT_NOT_EVERYWHERE = 3
POLL_INTERVAL_S = 0.1  # between requests whether all members apply a change
DEFAULT_WAIT_S = 15.0
MAX_WAIT_S = 3600.0
MAX_NAMED_MEMBERS = 12  # names printed of members that do not apply a change
MAX_SHOWN_VALUE_CHARS = 40  # a longer rejected value is cut off
NO_ROW_VERSION = (0, 0)
_HEADINGS = ("KEY", "IN FORCE", "FILE", "ROW", "WRITER", "")

# The texts of `--help`; the docstrings of the functions are for their readers.
PUT_HELP = (
    "Set a value, such as `tenant/NAME/share 0.4` or `class/NAME/deadline 5000`, and wait until all "
    "reachable schedulers apply it. Exit code 0: in force; 3: accepted, but not in force everywhere in time; "
    "2: refused; 1: no answer."
)
STATUS_HELP = (
    "Ask every scheduler which rows it applies. Exit code 0: all live schedulers apply the same rows and "
    "refuse none; 3: otherwise."
)


@click.group()
def settings() -> None:
    """Change settings by rows: values that override the settings file in all schedulers of the fleet."""


def _change_options(command: Any) -> Any:
    """Add the options of a change, and the options that name a scheduler."""
    for option in (
        click.option("--take-over", is_flag=True, help="Change the row even if another scheduler writes it."),
        click.option(
            "--wait",
            "wait_s",
            default=DEFAULT_WAIT_S,
            show_default=True,
            type=click.FloatRange(0.0, MAX_WAIT_S),
            help="Maximum seconds to wait until the change is in force.",
        ),
    ):
        command = option(command)
    return target_options(command)


@settings.command(help=PUT_HELP)
@click.argument("key")
@click.argument("value")
@_change_options
def put(key: str, value: str, wait_s: float, take_over: bool, **target_values: Any) -> None:
    """Set a value, and wait until all live members apply it."""
    _change_row(resolve_target(**target_values), key, value.encode(), wait_s, take_over)


@settings.command()
@click.argument("key")
@_change_options
def delete(key: str, wait_s: float, take_over: bool, **target_values: Any) -> None:
    """Delete a row, so that the settings file's value is in force again. Exit codes are those of `put`."""
    _change_row(resolve_target(**target_values), key, None, wait_s, take_over)


@settings.command()
@target_options
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def show(as_json: bool, **target_values: Any) -> None:
    """Print the rows of one scheduler, with the value in force there and the value of its file."""
    shown = request_or_exit(resolve_target(**target_values), RowsRequest(), RowsResponse)
    if as_json:
        rows = [msgspec.structs.asdict(row) for row in shown.rows]
        click.echo(json.dumps({"name": shown.name, "rows": rows}))
        return
    click.echo(f"{shown.name}: {len(shown.rows)} rows")
    click.echo("\n".join(table_lines([_HEADINGS, *map(_cells, shown.rows)])))


@settings.command(help=STATUS_HELP)
@target_options
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def status(as_json: bool, **target_values: Any) -> None:
    """Print which rows each scheduler applies."""
    cluster_status = collect_status(resolve_target(**target_values))
    click.echo(status_json(cluster_status) if as_json else status_text(cluster_status))
    sys.exit(EXIT_IN_FORCE if cluster_status.is_uniform else EXIT_NOT_EVERYWHERE)


def _change_row(
    target: SchedulerTarget, key: str, body: bytes | None, wait_s: float, take_over: bool
) -> None:
    """Set or delete a row, print the outcome, and exit with its code."""
    rows = request_or_exit(target, RowsRequest(key), RowsResponse).rows if key else ()
    version = (rows[0].term, rows[0].number) if rows else NO_ROW_VERSION
    done = request_or_exit(target, Put(key, body, version, take_over), PutResponse)
    if done.why:
        click.echo(f"refused by {done.name}: {done.why}", err=True)
        sys.exit(EXIT_REJECTED)
    value = body.decode() if body is not None else "deleted"
    click.echo(f"accepted by {done.name}: {key} = {value}, as {done.term}.{done.number}")
    outcome = _wait_until_applied(target, CommitStatusRequest(key, done.term, done.number), wait_s)
    click.echo(_outcome_text(outcome))
    sys.exit(EXIT_IN_FORCE if outcome.in_force else EXIT_NOT_EVERYWHERE)


def _wait_until_applied(
    target: SchedulerTarget, question: CommitStatusRequest, wait_s: float
) -> CommitStatusResponse:
    """Repeat the request until all members apply the row, none can apply it any more, or `wait_s` is over."""
    deadline = time.monotonic() + wait_s
    while True:
        answer = request_or_exit(target, question, CommitStatusResponse)
        all_reject = answer.missing and all(reason for _, reason in answer.missing)
        if answer.in_force or answer.superseded or all_reject or time.monotonic() >= deadline:
            return answer
        time.sleep(min(POLL_INTERVAL_S, max(0.0, deadline - time.monotonic())))


def _outcome_text(outcome: CommitStatusResponse) -> str:
    if outcome.superseded:
        return f"not in force: superseded by {outcome.superseded}"
    if outcome.in_force:
        text = f"in force at all {len(outcome.acting)} in touch"
    else:
        missing = [
            f"{name} refuses it: {reason}" if reason else f"{name} has not confirmed it"
            for name, reason in outcome.missing
        ]
        unnamed_count = len(missing) - MAX_NAMED_MEMBERS
        more = [f"and {unnamed_count} more"] if unnamed_count > 0 else []
        text = f"not in force everywhere: {len(outcome.acting)} apply it; "
        text += "; ".join(missing[:MAX_NAMED_MEMBERS] + more)
    if outcome.out_of_touch:
        text += f"; out of touch: {', '.join(outcome.out_of_touch)}"
    return text


def _cells(row: RowDetails) -> tuple[str, ...]:
    version = f"{row.term}.{row.number}"
    return row.key, _number_text(row.value), _number_text(row.file), version, row.writer, _status_cell(row)


def _number_text(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"


def _status_cell(row: RowDetails) -> str:
    if row.refused:
        return f"REFUSED ({row.asked[:MAX_SHOWN_VALUE_CHARS]}): {row.refused}"
    return "deleted" if row.deleted else ""
