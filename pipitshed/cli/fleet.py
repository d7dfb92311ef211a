"""`pipitshed fleet`: shows a scheduler's view of the cluster's members, or lets the scheduler leave."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from pipitshed.cli.client import request_or_exit, resolve_target, target_options
from pipitshed.cli.text_table import duration, table_lines
from pipitshed.cluster.messages import Leave, MemberRow, ViewRequest, ViewResponse

WATCH_INTERVAL_S = 1.0
LIVE_STATES = ("alive", "suspect")
_HEADINGS = ("NAME", "ZONE", "ADDRESS", "STATE", "INCARNATION", "FOR", "REPORTED BY", "SAME VIEW")
_SAME_VIEW_WORDS = {True: "yes", False: "no", None: "-"}


@click.group()
def fleet() -> None:
    """Show the fleet as a scheduler sees it, or let a scheduler leave the fleet."""


@fleet.command()
@target_options
@click.option("--json", "as_json", is_flag=True, help="Print the view as one JSON object.")
@click.option("--watch", is_flag=True, help="Print the view each second, until Ctrl-C.")
def show(as_json: bool, watch: bool, **target_values: Any) -> None:
    """Print one scheduler's view of the members: their states, since when, from whom, and who agrees."""
    target = resolve_target(**target_values)
    while True:
        view = request_or_exit(target, ViewRequest(), ViewResponse)
        click.echo(_as_json(view) if as_json else _as_text(view))
        if not watch:
            return
        time.sleep(WATCH_INTERVAL_S)


@fleet.command()
@target_options
def leave(**target_values: Any) -> None:
    """Let one scheduler leave the fleet; it continues to serve its clients."""
    view = request_or_exit(resolve_target(**target_values), Leave(), ViewResponse)
    click.echo(f"{view.name} has left the fleet, and serves on")


def _as_json(view: ViewResponse) -> str:
    members = [msgspec.structs.asdict(member) for member in view.members]
    return msgspec.json.encode(msgspec.structs.asdict(view) | {"members": members}).decode()


def _as_text(view: ViewResponse) -> str:
    live = [member for member in view.members if member.state in LIVE_STATES]
    agreeing = sum(member.agrees is True for member in live) - 1
    summary = f"{view.name}: view {view.number}, hash {view.digest}; "
    summary += f"{agreeing} of {len(live) - 1} others agree"
    if view.health:
        summary += f"; local health score {view.health}"
    if view.leaving:
        summary += "; leaving the fleet"
    if view.displaced:
        summary += "; ITS NAME IS USED BY ANOTHER PROCESS"
    return "\n".join([summary, *table_lines([_HEADINGS, *map(_cells, view.members)])])


def _cells(member: MemberRow) -> tuple[str, ...]:
    return (
        member.name,
        member.zone,
        member.address,
        member.state,
        str(member.incarnation),
        duration(member.for_s),
        member.said_by,
        _SAME_VIEW_WORDS[member.agrees],
    )
