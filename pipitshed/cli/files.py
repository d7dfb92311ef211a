"""The commands `schema` and `init`, for the files that operators write."""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path
from typing import Any

import click
import msgspec

from pipitshed.cli.options import fail

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
TEMPLATE_NAMES = ("config.json", "front.toml", "translation.toml")


@click.command()
@click.argument("which", type=click.Choice(["front", "translation", "experiment", "fleet", "peers"]))
def schema(which: str) -> None:
    """Print the JSON Schema of one kind of file, generated from the type that reads it."""
    document = {"$schema": SCHEMA_DIALECT} | msgspec.json.schema(_file_type(which))
    click.echo(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def init(folder: Path) -> None:
    """Write an example configuration, front file and translation file into FOLDER."""
    templates = files("pipitshed.templates")
    folder.mkdir(parents=True, exist_ok=True)
    if existing := [name for name in TEMPLATE_NAMES if (folder / name).exists()]:
        fail(f"{folder} already has {', '.join(existing)}; nothing is written")
    for name in TEMPLATE_NAMES:
        (folder / name).write_text((templates / name).read_text())
    click.echo(f"LB_CONFIG={folder / 'config.json'} pipitshed check --front {folder / 'front.toml'}")


def _file_type(which: str) -> Any:
    """Return the type that reads a file; other modules are not imported, as they may need extras."""
    if which == "translation":
        from pipitshed.translation.file import TranslationFile

        return TranslationFile
    if which == "experiment":
        from pipitshed.testbed.experiment import Experiment

        return Experiment
    if which == "fleet":
        from pipitshed.placement.model import Fleet

        return Fleet
    if which == "peers":
        from pipitshed.cluster.config_file import ClusterFile

        return ClusterFile
    from pipitshed.config.front import FrontFile

    return FrontFile
