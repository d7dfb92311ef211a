"""Options that several commands have, and the loading of the files that they name."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from pipitshed.config.errors import ConfigError
from pipitshed.config.front import FrontConfig, load_front
from pipitshed.config.platform import Config, load_platform_config

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig

EXIT_USAGE = 2  # a file or an option cannot be used

front_option = click.option(
    "--front",
    type=click.Path(path_type=Path),
    help="The file that asks for more than the platform's own: Gearman, DNS-SD, "
    "translation, a plan. Without it none of them is on.",
)

fleet_option = click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    help="The file by which this scheduler joins its peers; nothing else does.",
)


def fail(message: object) -> NoReturn:
    """End the program with a message on the standard error."""
    click.echo(f"pipitshed: {message}", err=True)
    sys.exit(EXIT_USAGE)


def load_configuration(front: Path | None) -> tuple[Config, FrontConfig]:
    """Load the platform's configuration and the front file; the program ends where they cannot be used."""
    try:
        config = load_platform_config()
        return config, load_front(front, config)
    except ConfigError as error:
        fail(error)


def load_cluster_config(path: Path | None) -> ClusterConfig | None:
    """Load the cluster's file; without a path no module of the cluster is imported."""
    if path is None:
        return None
    from pipitshed.cluster.config_file import ClusterConfigError, read

    try:
        config = read(path)
        if config.event_log is not None:
            import structlog  # noqa: F401 - is the extra there?
        return config
    except ClusterConfigError as error:
        fail(error)
    except ImportError as error:
        fail(f"{path}: event-log needs the extra `fleet`: {error}")
