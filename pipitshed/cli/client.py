"""The operators' client of a scheduler's peer address: the options that name it, one request, one answer."""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import click

from pipitshed.cli.options import fail
from pipitshed.cluster.codec import FRAME_LIMIT, LENGTH_PREFIX, Codec, MessageRejectedError
from pipitshed.cluster.config_file import ClusterConfigError, read, secret_from
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.cluster.streams import with_length_prefix
from pipitshed.membership.members import Address
from pipitshed.protocols.address import parse_address

REQUEST_TIMEOUT_S = 3.0
EXIT_NO_ANSWER = 1

_Answer = TypeVar("_Answer", bound=ClusterMessage)
_Command = Callable[..., None]


class RequestError(Exception):
    """A request without an answer; the text says why."""


@dataclass(frozen=True, slots=True)
class SchedulerTarget:
    """A scheduler's peer address, and the codec of its cluster."""

    address: Address
    codec: Codec


def target_options(command: _Command) -> _Command:
    """Add the options that name a scheduler; `resolve_target` takes their values."""
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


def resolve_target(
    peer: str | None, file: Path | None, cluster: str, secret_file: Path | None
) -> SchedulerTarget:
    """The scheduler that the options name; the program ends where they name none."""
    try:
        if file is not None:
            config = read(file)
            address = parse_address(peer) if peer else config.listen
            return SchedulerTarget(address, Codec(config.cluster, config.secret))
        if peer is None:
            raise ClusterConfigError("--peer or --fleet says which scheduler is asked")
        secret = secret_from(secret_file.read_bytes()) if secret_file is not None else b""
        return SchedulerTarget(parse_address(peer), Codec(cluster, secret))
    except (ClusterConfigError, ValueError, OSError) as error:
        fail(error)


def request_or_exit(target: SchedulerTarget, message: ClusterMessage, answer_type: type[_Answer]) -> _Answer:
    """The answer to a request; the program ends where there is none."""
    try:
        return send_request(target.address, target.codec, message, answer_type)
    except RequestError as error:
        host, port = target.address
        click.echo(f"pipitshed: {host}:{port}: {error}", err=True)
        sys.exit(EXIT_NO_ANSWER)


def send_request(
    address: Address, codec: Codec, message: ClusterMessage, answer_type: type[_Answer]
) -> _Answer:
    """Send a request to a scheduler's peer address, and wait for its answer.

    Raises:
        RequestError: No answer of this type has come in time.
    """
    try:
        with socket.create_connection(address, REQUEST_TIMEOUT_S) as connection:
            connection.settimeout(REQUEST_TIMEOUT_S)
            connection.sendall(with_length_prefix(codec.encode(message)))
            (length,) = LENGTH_PREFIX.unpack(_receive(connection, LENGTH_PREFIX.size))
            if length > FRAME_LIMIT:
                raise RequestError("the answer is longer than any can be")
            answer = codec.decode(_receive(connection, length))
    except OSError as error:
        raise RequestError(str(error) or "no answer in time") from None
    except MessageRejectedError as error:
        raise RequestError(f"the answer is of no scheduler of this cluster ({error})") from None
    if not isinstance(answer, answer_type):
        raise RequestError("the answer is not of what was asked")
    return answer


def _receive(connection: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise RequestError("it closed without an answer: another cluster, version or secret")
        data += part
    return data
