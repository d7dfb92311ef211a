"""The commands."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pipitshed import __version__
from pipitshed.config.errors import ConfigError
from pipitshed.config.front import FrontConfig, FrontFile, load_front
from pipitshed.config.platform import Config, load_platform_config
from pipitshed.server.server import serve as run_scheduler

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig

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


def _peers(path: Path | None) -> ClusterConfig | None:
    """What the fleet's file asks for; nothing of the fleet is loaded where none is named."""
    if path is None:
        return None
    from pipitshed.cluster.config_file import ClusterConfigError, read

    try:
        peers = read(path)
        if peers.event_log is not None:
            import structlog  # noqa: F401 - is the extra there?
        return peers
    except ClusterConfigError as error:
        click.echo(f"pipitshed: {error}", err=True)
    except ImportError as error:
        click.echo(f"pipitshed: {path}: event-log needs the extra `fleet`: {error}", err=True)
    sys.exit(2)


def _load(front: Path | None) -> tuple[Config, FrontConfig]:
    try:
        config = load_platform_config()
        return config, load_front(front, config)
    except ConfigError as error:
        click.echo(f"pipitshed: {error}", err=True)
        sys.exit(2)


_EXTRA = {
    "lab": ("pipitshed.cli.testbed", "lab"),
    "testbed": ("pipitshed.cli.testbed", "lab"),
    "place": ("pipitshed.cli.place", "placement"),
    "fleet": ("pipitshed.cli.fleet", "fleet"),
    "settings": ("pipitshed.cli.settings", "fleet"),
}
_FUNCTIONS = {"lab": "testbed"}  # the name that a command had before, which stays


class _Commands(click.Group):
    """The commands; those that `run` does not need are imported when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *_EXTRA])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in _EXTRA:
            return super().get_command(ctx, name)
        module, extra = _EXTRA[name]
        try:
            command: click.Command = getattr(importlib.import_module(module), _FUNCTIONS.get(name, name))
        except ImportError as error:
            click.echo(f"pipitshed: `{name}` needs the extra `{extra}`: {error}", err=True)
            sys.exit(2)
        return command


@click.group(cls=_Commands)
def main() -> None:
    """A scheduler that pushes jobs to planners."""


def _versions(asked: FrontConfig) -> str:
    assert asked.translation is not None
    return ", ".join(str(form.version) for form in asked.translation.file.forms)


def _number(path: Path) -> str:
    """What `check` says of a plan; the program ends where `serve` would turn it down."""
    from pipitshed.placement.plan import PlanError, read

    try:
        return f", plan {read(path.read_bytes()).number} followed"
    except (OSError, PlanError) as error:
        text = error.strerror if isinstance(error, OSError) else f"it {error}"
        click.echo(f"pipitshed: {path}: {text}", err=True)
        sys.exit(2)


@main.command()
@front_option
@fleet_option
def serve(front: Path | None, fleet: Path | None) -> None:
    """Serve as LB_CONFIG and the front file say, until SIGTERM."""
    config, asked = _load(front)
    peers = _peers(fleet)
    try:
        run_scheduler(config, asked, peers)
    except OSError as error:
        click.echo(f"pipitshed: can't listen: {error.strerror}", err=True)
        sys.exit(2)


@main.command()
@front_option
@fleet_option
def check(front: Path | None, fleet: Path | None) -> None:
    """Read the configuration and the front file, and say what they ask for."""
    config, asked = _load(front)
    peers = _peers(fleet)
    plan = _number(asked.plan) if asked.plan is not None else ""
    gearman = ", ".join(f"{host}:{port}" for host, port in asked.listen) or "off"
    click.echo(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"classes {', '.join(config.classes)}, "
        f"{len(config.known.instances) if config.known else 0} planners known, Gearman {gearman}"
        + (f", forms {_versions(asked)} translated" if asked.translation else "")
        + plan
        + (f", in cluster {peers.cluster} as {peers.name}, {len(peers.seeds)} seeds" if peers else "")
    )


@main.command()
@click.argument("which", type=click.Choice(["front", "translation", "experiment", "fleet", "peers"]))
def schema(which: str) -> None:
    """Print the JSON Schema of one of the files, made from the types that read it."""
    import msgspec

    kinds: dict[str, type] = {"front": FrontFile}
    if which == "translation":
        from pipitshed.translation.file import TranslationFile

        kinds[which] = TranslationFile
    elif which == "experiment":
        from pipitshed.testbed.experiment import Experiment

        kinds[which] = Experiment
    elif which == "fleet":
        from pipitshed.placement.model import Fleet

        kinds[which] = Fleet
    elif which == "peers":
        from pipitshed.cluster.config_file import ClusterFile

        kinds[which] = ClusterFile
    made = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | msgspec.json.schema(kinds[which])
    click.echo(msgspec.json.format(msgspec.json.encode(made), indent=2).decode())


@main.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def init(folder: Path) -> None:
    """Write a configuration, a commented front file and a translation file into FOLDER."""
    from importlib.resources import files

    templates = files("pipitshed.templates")
    folder.mkdir(parents=True, exist_ok=True)
    names = ("config.json", "front.toml", "translation.toml")
    if standing := [name for name in names if (folder / name).exists()]:
        click.echo(f"pipitshed: {folder} has {', '.join(standing)} already: nothing is written", err=True)
        sys.exit(2)
    for name in names:
        (folder / name).write_text((templates / name).read_text())
    click.echo(f"LB_CONFIG={folder / 'config.json'} pipitshed check --front {folder / 'front.toml'}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
