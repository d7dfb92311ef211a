"""Measured rows and runs, and their JSON files in docs/capacity."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
RECORDS_FOLDER = ROOT / "docs" / "capacity"
DIGITS = 5  # significant digits of a figure in the JSON


@dataclass
class Row:
    """The figures of one size in one case. A figure's unit is its key's suffix: `_bytes`,
    `_bytes_per_s`, `_mb`, `_ms`, `_us`, `_s`, `_share`; a key without a suffix is a count."""

    slope: str
    size: int
    case: str
    figures: dict[str, float]
    valid: bool = True
    why_not: str = ""  # e.g. the machine instead of the program was the limit
    virtual: bool = False  # measured without sockets, in virtual time or in one process


@dataclass
class Run:
    """The rows of one command at one commit."""

    slope: str
    command: str
    commit: str
    date: str  # UTC
    machine: str
    rows: list[Row] = field(default_factory=list)

    def valid(self, case: str, figure: str) -> list[tuple[int, float]]:
        """(size, figure) of the valid rows, sorted by size."""
        return sorted(
            (row.size, row.figures[figure])
            for row in self.rows
            if row.valid and row.case == case and figure in row.figures
        )


def rounded(value: float) -> float:
    """The value with the significant digits that are stored."""
    return float(f"{value:.{DIGITS}g}")


def write(run: Run, folder: Path = RECORDS_FOLDER) -> Path:
    """Write a run to SLOPE.json, its rows sorted by case and size."""
    data = asdict(run)
    for row in data["rows"]:
        row["figures"] = {name: rounded(value) for name, value in row["figures"].items()}
    data["rows"].sort(key=lambda row: (row["case"], row["size"]))
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{run.slope}.json"
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")
    return path


def read(path: Path) -> Run:
    """Read a run; ValueError, KeyError or TypeError if the file does not hold one."""
    loaded = json.loads(path.read_text())
    return Run(**(loaded | {"rows": [Row(**row) for row in loaded["rows"]]}))


def read_all(folder: Path = RECORDS_FOLDER) -> dict[str, Run]:
    """The stored runs by file name, which is the slope's unless `--name` gave another."""
    return {path.stem: read(path) for path in sorted(folder.glob("*.json"))}


def _git(*words: str) -> str:
    completed = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False)
    return completed.stdout.strip()


def commit() -> str:
    """The last commit that changed pipitshed/, as others may be rebased away; with `+` if the working tree
    differs from it."""
    changed = _git("status", "--porcelain", "--", "pipitshed")
    return _git("log", "-1", "--format=%h", "--abbrev=8", "--", "pipitshed") + ("+" if changed else "")


def machine() -> str:
    """Cores, operating system and Python version of this machine."""
    return f"{os.cpu_count()} cores, {platform.system()}, Python {platform.python_version()}"


def run_of(slope: str, command: str, rows: Iterable[Row]) -> Run:
    """A run of these rows, dated now."""
    return Run(slope, command, commit(), datetime.now(UTC).strftime("%Y-%m-%d %H:%M"), machine(), list(rows))
