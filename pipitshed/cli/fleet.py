"""`pipitshed fleet`: what an operator asks any live scheduler about the fleet."""

from __future__ import annotations

import socket
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from pipitshed.cluster.codec import FRAME_LIMIT, LENGTH, Codec, MessageRejectedError
from pipitshed.cluster.config_file import ClusterConfigError, read
from pipitshed.cluster.messages import ClusterMessage, Leave, Show, Shown
from pipitshed.cluster.streams import framed
from pipitshed.membership.members import Address
from pipitshed.protocols.address import parse_address

WITHIN = 3.0  # s for an answer
WATCH_EVERY = 1.0  # s
_Told = TypeVar("_Told", bound=ClusterMessage)


class AskError(Exception):
    """No answer; the text says why."""


def ask(peer: Address, codec: Codec, message: ClusterMessage, wanted: type[_Told]) -> _Told:
    """Ask a scheduler at its peer address; AskError where no answer of the wanted form comes in time."""
    try:
        with socket.create_connection(peer, WITHIN) as link:
            link.settimeout(WITHIN)
            link.sendall(framed(codec.encode(message)))
            (length,) = LENGTH.unpack(_exactly(link, LENGTH.size))
            if length > FRAME_LIMIT:
                raise AskError("the answer is longer than any can be")
            told = codec.decode(_exactly(link, length))
    except OSError as error:
        raise AskError(str(error) or "no answer in time") from None
    except MessageRejectedError as error:
        raise AskError(f"the answer is of no scheduler of this cluster ({error})") from None
    if not isinstance(told, wanted):
        raise AskError("the answer is not of what was asked")
    return told


def _exactly(link: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        part = link.recv(size - len(data))
        if not part:
            raise AskError("it closed without an answer: another cluster, version or secret")
        data += part
    return data


def table(shown: Shown) -> str:
    """The view as text."""
    rows = [("NAME", "ZONE", "ADDRESS", "STATE", "INCARNATION", "FOR", "SAID BY", "SAME VIEW")]
    rows += [
        (
            row.name,
            row.zone,
            row.address,
            row.state,
            str(row.incarnation),
            lasting(row.for_s),
            row.said_by,
            {True: "yes", False: "no", None: "-"}[row.agrees],
        )
        for row in shown.members
    ]
    living = [row for row in shown.members if row.state in ("alive", "suspect")]
    others = sum(row.agrees is True for row in living) - 1
    told = (
        f"{shown.name}: view {shown.number}, hash {shown.digest}; {others} of {len(living) - 1} others agree"
    )
    told += f"; doubts itself by {shown.health}" if shown.health else ""
    told += "; is leaving" if shown.leaving else ""
    told += "; ITS NAME IS HELD BY ANOTHER PROCESS" if shown.displaced else ""
    return "\n".join([told, *columns(rows)])


def columns(rows: Sequence[Sequence[str]]) -> list[str]:
    """These cells as lines, one below the other."""
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]


def lasting(seconds: float) -> str:
    """A time in the unit that suits it."""
    for size, unit in ((86400, "d"), (3600, "h"), (60, "min")):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.1f} s"


_Command = Callable[..., None]


def asked(command: _Command) -> _Command:
    """The options by which a scheduler is found."""
    for option in (
        click.option(
            "--secret-file",
            type=click.Path(path_type=Path, exists=True, dir_okay=False),
            help="Its first line keys the checksums, where the fleet has a secret.",
        ),
        click.option("--cluster", default="pipitshed", show_default=True, help="The cluster's name."),
        click.option(
            "--fleet",
            "file",
            type=click.Path(path_type=Path, exists=True, dir_okay=False),
            help="The file that `serve --fleet` has: address, cluster and secret come from it.",
        ),
        click.option("--peer", help="The peer address of any live scheduler, host:port."),
    ):
        command = option(command)
    return command


def way_to(
    peer: str | None, file: Path | None, cluster: str, secret_file: Path | None
) -> tuple[Address, Codec]:
    """The scheduler that these options name, and how to speak to it; the program ends where there is none."""
    try:
        if file is not None:
            told = read(file)
            return parse_address(peer) if peer else told.listen, Codec(told.cluster, told.secret)
        if peer is None:
            raise ClusterConfigError("--peer or --fleet says which scheduler is asked")
        secret = secret_file.read_bytes().split(b"\n")[0].strip() if secret_file is not None else b""
        return parse_address(peer), Codec(cluster, secret)
    except (ClusterConfigError, ValueError, OSError) as error:
        click.echo(f"pipitshed: {error}", err=True)
        sys.exit(2)


def ask_or_end(way: tuple[Address, Codec], message: ClusterMessage, wanted: type[_Told]) -> _Told:
    """The answer; the program ends with 1 where none comes."""
    try:
        return ask(*way, message, wanted)
    except AskError as error:
        click.echo(f"pipitshed: {way[0][0]}:{way[0][1]}: {error}", err=True)
        sys.exit(1)


@click.group()
def fleet() -> None:
    """The schedulers' own view of their fleet."""


@fleet.command()
@asked
@click.option("--json", "as_json", is_flag=True, help="The view as one JSON object.")
@click.option("--watch", is_flag=True, help="Again each second, until Ctrl-C.")
def show(as_json: bool, watch: bool, **told: Any) -> None:
    """Print the view of one scheduler: who lives, since when, who said so, and who agrees."""
    way = way_to(**told)
    while True:
        shown = ask_or_end(way, Show(), Shown)
        if as_json:
            click.echo(
                msgspec.json.encode(
                    msgspec.structs.asdict(shown)
                    | {"members": [msgspec.structs.asdict(row) for row in shown.members]}
                ).decode()
            )
        else:
            click.echo(table(shown))
        if not watch:
            return
        time.sleep(WATCH_EVERY)


@fleet.command()
@asked
def leave(**told: Any) -> None:
    """Let one scheduler leave the fleet in good order; it serves its clients on."""
    shown = ask_or_end(way_to(**told), Leave(), Shown)
    click.echo(f"{shown.name} has left the fleet, and serves on")
