"""The commands `serve` and `check`, which load the same files."""

from __future__ import annotations

from pathlib import Path

import click

from pipitshed.cli.options import (
    fail,
    fleet_option,
    front_option,
    load_cluster_config,
    load_configuration,
)
from pipitshed.config.front import Translation
from pipitshed.server.server import serve as run_scheduler


@click.command()
@front_option
@fleet_option
def serve(front: Path | None, fleet: Path | None) -> None:
    """Run a scheduler with the configuration that LB_CONFIG names, until SIGTERM."""
    config, front_config = load_configuration(front)
    cluster = load_cluster_config(fleet)
    try:
        run_scheduler(config, front_config, cluster)
    except OSError as error:
        fail(f"can't listen: {error.strerror}")


@click.command()
@front_option
@fleet_option
def check(front: Path | None, fleet: Path | None) -> None:
    """Check the files that `serve` would load, and print a summary of them."""
    config, front_config = load_configuration(front)
    cluster = load_cluster_config(fleet)
    parts = [
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}",
        f"classes {', '.join(config.classes)}",
        f"{len(config.cached_list.instances) if config.cached_list else 0} planners known",
        "Gearman " + (", ".join(f"{host}:{port}" for host, port in front_config.gearman_addresses) or "off"),
    ]
    if front_config.translation is not None:
        parts.append(f"forms {_form_versions(front_config.translation)} translated")
    if front_config.plan_path is not None:
        parts.append(f"plan {_plan_number(front_config.plan_path)} followed")
    if cluster is not None:
        parts.append(f"in cluster {cluster.cluster} as {cluster.name}")
        parts.append(f"{len(cluster.seeds)} seeds")
    click.echo(", ".join(parts))


def _form_versions(translation: Translation) -> str:
    return ", ".join(str(form.version) for form in translation.file.forms)


def _plan_number(path: Path) -> int:
    """Return the number of a plan; exit with EXIT_USAGE where `serve` would reject the plan."""
    from pipitshed.placement.plan import PlanError, read

    try:
        return read(path.read_bytes()).number
    except OSError as error:
        fail(f"{path}: {error.strerror}")
    except PlanError as error:
        fail(f"{path}: unusable plan: {error}")
