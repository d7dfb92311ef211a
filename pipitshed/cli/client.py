"""The command line's client of a scheduler's peer address: its options, and single requests."""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import click

from pipitshed.cli.options import fail
from pipitshed.cluster.codec import FRAME_LIMIT_BYTES, LENGTH_PREFIX, Codec, MessageRejectedError
from pipitshed.cluster.config_file import ClusterConfigError, read, secret_from
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.cluster.streams import with_length_prefix
from pipitshed.membership.members import Address
from pipitshed.protocols.address import parse_address

REQUEST_TIMEOUT_S = 3.0  # for the connection, and for each wait for data
EXIT_NO_ANSWER = 1

_Answer = TypeVar("_Answer", bound=ClusterMessage)
_Command = Callable[..., None]


class RequestError(Exception):
    """A request got no valid answer; the message gives the reason."""


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
            help="A file whose first line is the fleet's secret, if it has one.",
        ),
        click.option("--cluster", default="pipitshed", show_default=True, help="The name of the cluster."),
        click.option(
            "--fleet",
            "file",
            type=click.Path(path_type=Path, exists=True, dir_okay=False),
            help="The file given to `serve --fleet`, for the address, cluster and secret.",
        ),
        click.option("--peer", help="The peer address of a live scheduler, as host:port."),
    ):
        command = option(command)
    return command


def resolve_target(
    peer: str | None, file: Path | None, cluster: str, secret_file: Path | None
) -> SchedulerTarget:
    """Return the scheduler that the options name; exit with EXIT_USAGE where they name none."""
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
    """Send a request and return its answer; exit with EXIT_NO_ANSWER where there is none."""
    try:
        return send_request(target.address, target.codec, message, answer_type)
    except RequestError as error:
        host, port = target.address
        click.echo(f"pipitshed: {host}:{port}: {error}", err=True)
        sys.exit(EXIT_NO_ANSWER)


def send_request(
    address: Address, codec: Codec, message: ClusterMessage, answer_type: type[_Answer]
) -> _Answer:
    """Send a request to a scheduler's peer address, and return its answer.

    Raises:
        RequestError: No valid answer of this type came within REQUEST_TIMEOUT_S.
    """
    try:
        with socket.create_connection(address, REQUEST_TIMEOUT_S) as connection:
            connection.settimeout(REQUEST_TIMEOUT_S)
            connection.sendall(with_length_prefix(codec.encode(message)))
            (length,) = LENGTH_PREFIX.unpack(_receive(connection, LENGTH_PREFIX.size))
            if length > FRAME_LIMIT_BYTES:
                raise RequestError("the answer exceeds the size limit of a message")
            answer = codec.decode(_receive(connection, length))
    except OSError as error:
        raise RequestError(str(error) or "no answer within the time limit") from None
    except MessageRejectedError as error:
        raise RequestError(f"the answer is not from a scheduler of this cluster ({error})") from None
    if not isinstance(answer, answer_type):
        raise RequestError("the answer has another message type than the request asks for")
    return answer


def _receive(connection: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise RequestError(
                "connection closed without an answer: check the cluster's name, the version and the secret"
            )
        data += part
    return data
