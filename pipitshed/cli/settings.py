"""`pipitshed settings`: settings by row, put at any live scheduler and followed until all act on them."""

from __future__ import annotations

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import click
import msgspec

from pipitshed.cli.fleet import AskError, ask, ask_or_end, asked, columns, lasting, way_to
from pipitshed.cluster.codec import Codec
from pipitshed.cluster.messages import (
    AskForce,
    AskStatus,
    Force,
    Put,
    PutDone,
    ShownRow,
    ShownRows,
    ShowRows,
    Status,
)
from pipitshed.membership.members import Address
from pipitshed.protocols.address import parse_address

IN_FORCE, NO_ANSWER, REFUSED, NOT_EVERYWHERE = 0, 1, 2, 3  # exit codes
LOOK = 0.1  # s between questions whether a change is in force
ASKED_AT_ONCE = 16  # schedulers
NAMED = 12  # of those that do not act on a change

Way = tuple[Address, Codec]


@click.group()
def settings() -> None:
    """Settings by row: a value that stands over the settings file's, in all schedulers of the fleet."""


def _written(command: Any) -> Any:
    """The options of a change."""
    for option in (
        click.option("--take-over", is_flag=True, help="Though another scheduler writes this row."),
        click.option(
            "--wait",
            default=15.0,
            show_default=True,
            type=click.FloatRange(0.0, 3600.0),
            help="Seconds until it must be in force.",
        ),
    ):
        command = option(command)
    return asked(command)


@settings.command()
@click.argument("key")
@click.argument("value")
@_written
def put(key: str, value: str, wait: float, take_over: bool, **told: Any) -> None:
    """Put a value, such as `tenant/NAME/share 0.4` or `class/NAME/deadline 5000`, and wait until all in touch
    act on it. Exit code 0: in force; 3: accepted, and not in force everywhere in time; 2: refused; 1: no
    answer.
    """
    _write(way_to(**told), key, value.encode(), wait, take_over)


@settings.command()
@click.argument("key")
@_written
def delete(key: str, wait: float, take_over: bool, **told: Any) -> None:
    """Delete a row, so that the settings file's value is in force again. Exit codes as of `put`."""
    _write(way_to(**told), key, None, wait, take_over)


def _write(way: Way, key: str, body: bytes | None, wait: float, take_over: bool) -> None:
    held = ask_or_end(way, ShowRows(key), ShownRows).rows if key else ()
    over = (held[0].term, held[0].number) if held else (0, 0)
    done = ask_or_end(way, Put(key, body, over, take_over), PutDone)
    if done.why:
        click.echo(f"refused by {done.name}: {done.why}", err=True)
        sys.exit(REFUSED)
    value = body.decode() if body is not None else "deleted"
    click.echo(f"accepted by {done.name}: {key} = {value}, as {done.term}.{done.number}")
    until = time.monotonic() + wait
    while True:
        force = ask_or_end(way, AskForce(key, done.term, done.number), Force)
        refused = force.missing and all(why for _, why in force.missing)
        if force.in_force or force.superseded or refused or time.monotonic() >= until:
            break
        time.sleep(min(LOOK, max(0.0, until - time.monotonic())))
    click.echo(_outcome(force))
    sys.exit(IN_FORCE if force.in_force else NOT_EVERYWHERE)


def _outcome(force: Force) -> str:
    if force.superseded:
        return f"not in force: {force.superseded} has taken its place"
    told = f"in force at all {len(force.acting)} in touch"
    if not force.in_force:
        names = [
            f"{name} refuses it: {why}" if why else f"{name} has not said that it does"
            for name, why in force.missing
        ]
        more = [f"and {len(names) - NAMED} more"] if len(names) > NAMED else []
        told = f"not in force everywhere: {len(force.acting)} act on it; " + "; ".join(names[:NAMED] + more)
    return told + (f"; out of touch: {', '.join(force.out_of_touch)}" if force.out_of_touch else "")


@settings.command()
@asked
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def show(as_json: bool, **told: Any) -> None:
    """Print the rows that one scheduler holds: what is in force there, and what the file says."""
    shown = ask_or_end(way_to(**told), ShowRows(), ShownRows)
    if as_json:
        click.echo(
            json.dumps({"name": shown.name, "rows": [msgspec.structs.asdict(row) for row in shown.rows]})
        )
        return
    cells = [("KEY", "IN FORCE", "FILE", "ROW", "WRITER", "")]
    cells += [
        (row.key, _figure(row.value), _figure(row.file), f"{row.term}.{row.number}", row.writer, _remark(row))
        for row in shown.rows
    ]
    click.echo(f"{shown.name}: {len(shown.rows)} rows")
    click.echo("\n".join(columns(cells)))


def _figure(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"


def _remark(row: ShownRow) -> str:
    if row.refused:
        return f"REFUSED ({row.asked[:40]}): {row.refused}"
    return "deleted" if row.deleted else ""


@settings.command()
@asked
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def status(as_json: bool, **told: Any) -> None:
    """Ask every scheduler which rows it acts on. Exit code 0 where all that live act on the same ones and
    refuse none, 3 else.
    """
    address, codec = way = way_to(**told)
    first = ask_or_end(way, AskStatus(), Status)

    def of(member: tuple[str, str, str]) -> Status | str:
        name, at, state = member
        if name == first.name:
            return first
        if state not in ("alive", "suspect"):
            return "left" if state == "left" else "out of touch"
        try:
            return ask(parse_address(at), codec, AskStatus(), Status)
        except AskError as error:
            return f"no answer: {error}"

    with ThreadPoolExecutor(ASKED_AT_ONCE) as threads:
        answers = list(threads.map(of, first.members))
    rows = [_member(member, answer, first) for member, answer in zip(first.members, answers, strict=True)]
    if as_json:
        click.echo(json.dumps({"asked": first.name, "digest": first.digest, "members": rows}))
    else:
        cells = [("NAME", "STATE", "ACTS ON", "ROWS", "FOR", "SAME AS " + first.name, "")]
        cells += [
            (
                row["name"],
                row["state"],
                row["digest"] or "-",
                str(row["rows"]),
                lasting(row["for_s"]),
                {True: "yes", False: "NO", None: "-"}[row["same"]],
                "; ".join(row["remarks"]),
            )
            for row in rows
        ]
        click.echo("\n".join(columns(cells)))
    well = all(row["same"] and not row["remarks"] for row in rows if row["state"] in ("alive", "suspect"))
    sys.exit(IN_FORCE if well else NOT_EVERYWHERE)


def _member(member: tuple[str, str, str], answer: Status | str, first: Status) -> dict[str, Any]:
    name, address, state = member
    told: dict[str, Any] = {
        "name": name,
        "address": address,
        "state": state,
        "digest": "",
        "rows": 0,
        "for_s": 0.0,
        "same": None,
        "refused": [],
        "remarks": [],
    }
    if isinstance(answer, str):
        return told | {"remarks": [answer] if answer != "left" else []}
    remarks = [f"refuses {key}: {why}" for key, why in answer.refused]
    if answer.unsaved:
        remarks.append(f"its rows are not kept: {answer.unsaved}")
    if not answer.caught_up:
        remarks.append("has not caught up after its start")
    return told | {
        "digest": answer.digest,
        "rows": answer.rows,
        "for_s": answer.for_s,
        "same": answer.digest == first.digest,
        "refused": answer.refused,
        "remarks": remarks,
    }
