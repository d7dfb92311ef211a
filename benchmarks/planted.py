"""Mutation check: plants known defects in a copy of the tree; the tests named with each must detect it.

    python -m benchmarks.planted tests/planted/deployments.toml [--only WORD] [--jobs 4]

A defect is a file, lines that occur in it exactly once, and their replacement. The copy holds the package and
the tests. The named tests must pass without the defect and fail with it; the exit code is 1 if any defect is
missed.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

CHECKOUT = Path(__file__).parent.parent
COPIED_FOLDERS = ("pipitshed", "tests", "deploy", "experiments", "benchmarks", "docs/interfaces")
TESTS_FAILED = 1  # pytest's exit code if tests ran and some failed


class Defect(msgspec.Struct, rename="kebab", forbid_unknown_fields=True):
    """One defect: in `file`, `was` is replaced by `now`; `tests` are the arguments of pytest."""

    name: str
    file: str
    was: str
    now: str
    tests: str


class DefectFile(msgspec.Struct, forbid_unknown_fields=True):
    """A file of defects."""

    defect: list[Defect]


class CheckoutCopy:
    """A copy of the files that the tests need; each defect gets a fresh one."""

    def __init__(self, folder: Path) -> None:
        self.root = folder
        for name in COPIED_FOLDERS:
            shutil.copytree(CHECKOUT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        for name in ("pyproject.toml", "README.md"):
            shutil.copy(CHECKOUT / name, folder / name)
        (folder / ".venv").symlink_to((CHECKOUT / ".venv").resolve())

    def plant(self, defect: Defect) -> None:
        path = self.root / defect.file
        text = path.read_text()
        if text.count(defect.was) != 1:
            raise click.ClickException(
                f"{defect.name}: its lines occur {text.count(defect.was)} times in {defect.file}, not once"
            )
        path.write_text(text.replace(defect.was, defect.now))

    def test(self, pytest_arguments: str) -> int:
        """Run pytest in the copy, for at most 600 s, and return its exit code."""
        run = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *pytest_arguments.split()],
            cwd=self.root,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=600,
            check=False,
        )
        return run.returncode


def detects_defect(defect: Defect) -> tuple[bool, float]:
    """Whether the tests fail with the defect planted, and their duration (s)."""
    with tempfile.TemporaryDirectory() as folder:
        checkout_copy = CheckoutCopy(Path(folder))
        checkout_copy.plant(defect)
        started_at = time.monotonic()
        return checkout_copy.test(defect.tests) == TESTS_FAILED, time.monotonic() - started_at


@click.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--only", default="", help="Only defects whose name contains this text.")
@click.option("--jobs", default=4, show_default=True)
def main(path: Path, only: str, jobs: int) -> None:
    """Plant each defect of PATH in a copy of its own and print whether its tests detect it."""
    defects = [
        one for one in msgspec.convert(tomllib.loads(path.read_text()), DefectFile).defect if only in one.name
    ]
    missed_count = 0
    with tempfile.TemporaryDirectory() as folder:
        exit_code = CheckoutCopy(Path(folder)).test(
            " ".join(sorted({one.tests.split(" -k")[0] for one in defects}))
        )
    if exit_code:
        raise click.ClickException(f"the tests fail without a defect: pytest exited with {exit_code}")
    with ThreadPoolExecutor(jobs) as pool:
        for defect, (detected, duration_s) in zip(defects, pool.map(detects_defect, defects), strict=True):
            click.echo(f"{'found' if detected else 'MISSED'}  {duration_s:5.1f} s  {defect.name}")
            missed_count += not detected
    click.echo(f"{len(defects) - missed_count} of {len(defects)} found")
    sys.exit(1 if missed_count else 0)


if __name__ == "__main__":
    main()
