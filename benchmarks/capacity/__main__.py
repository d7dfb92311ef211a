"""Command line of the capacity measurements."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict

import click

from benchmarks.capacity import page as pages
from benchmarks.capacity.records import read_all, run_of, write
from benchmarks.capacity.slopes import MODULES, module


def _measure(slope: str, sizes: str, limit_s: float, name: str) -> None:
    measuring_module = module(slope)
    chosen = tuple(int(size) for size in sizes.split(",")) if sizes else measuring_module.SIZES
    command = ["python -m benchmarks.capacity", "--measure", slope, *(["--sizes", sizes] if sizes else [])]
    rows = measuring_module.measure(chosen, limit_s)
    for row in rows:
        click.echo(json.dumps(asdict(row)))
    click.echo(write(run_of(name or slope, " ".join(command), rows)).name, err=True)


@click.command()
@click.option("--measure", help=f"Slopes to measure, separated by commas: {', '.join(MODULES)}.")
@click.option("--sizes", default="", help="Sizes instead of the slope's own, separated by commas.")
@click.option("--limit-s", default=300.0, show_default=True, help="Time limit of each slope in seconds.")
@click.option("--name", default="", help="Store the run under this name instead of the slope's.")
@click.option("--page", is_flag=True, help="Write the generated tables of docs/CAPACITY.md.")
@click.option("--check", is_flag=True, help="Print a diff and exit with 1 if the page and the JSON differ.")
@click.option("--plot", is_flag=True, help="Write docs/figures/capacity-*.png.")
def main(
    measure: str | None, sizes: str, limit_s: float, name: str, page: bool, check: bool, plot: bool
) -> None:
    """Measure slopes into docs/capacity, or render the page from the runs stored there."""
    for slope in measure.split(",") if measure else ():
        if slope not in MODULES:
            raise click.BadParameter(f"no slope {slope!r}", param_hint="--measure")
        _measure(slope, sizes, limit_s, name)
    if plot:
        from benchmarks.capacity.plots import draw

        for path in draw(read_all()):
            click.echo(path.name)
    if page:
        pages.PAGE.write_text(pages.render(pages.PAGE.read_text(), read_all()))
    if check and (difference := pages.page_diff(pages.PAGE.read_text(), read_all())):
        click.echo(difference, nl=False)
        sys.exit(1)


if __name__ == "__main__":
    main()
