"""Rows and runs, as they are measured and kept in docs/capacity."""

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
    """What one size cost in one case. A figure's unit is its key's suffix: `_bytes`, `_bytes_per_s`, `_mb`,
    `_ms`, `_us`, `_s`, `_share`; a key without one is a count."""

    slope: str
    size: int
    case: str
    figures: dict[str, float]
    valid: bool = True
    why_not: str = ""  # where the machine, not the program, was the limit
    virtual: bool = False  # no socket and no clock but the one that was played


@dataclass
class Run:
    """The rows of one command on one commit."""

    slope: str
    command: str
    commit: str
    date: str  # UTC
    machine: str
    rows: list[Row] = field(default_factory=list)

    def valid(self, case: str, figure: str) -> list[tuple[int, float]]:
        """(size, figure) of the rows that count, by size."""
        return sorted(
            (row.size, row.figures[figure])
            for row in self.rows
            if row.valid and row.case == case and figure in row.figures
        )


def rounded(value: float) -> float:
    """As many digits as a figure is kept with."""
    return float(f"{value:.{DIGITS}g}")


def write(run: Run, folder: Path = RECORDS_FOLDER) -> Path:
    """Write a run to SLOPE.json, its rows by case and size."""
    data = asdict(run)
    for row in data["rows"]:
        row["figures"] = {name: rounded(value) for name, value in row["figures"].items()}
    data["rows"].sort(key=lambda row: (row["case"], row["size"]))
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{run.slope}.json"
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")
    return path


def read(path: Path) -> Run:
    """A run as it was written; ValueError, KeyError or TypeError where the file is none."""
    loaded = json.loads(path.read_text())
    return Run(**(loaded | {"rows": [Row(**row) for row in loaded["rows"]]}))


def read_all(folder: Path = RECORDS_FOLDER) -> dict[str, Run]:
    """The runs that are kept, by slope."""
    return {path.stem: read(path) for path in sorted(folder.glob("*.json"))}


def _git(*words: str) -> str:
    completed = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False)
    return completed.stdout.strip()


def commit() -> str:
    """The last commit that changed the program, as others may be rebased away; `+` behind it where the
    program differs from it."""
    changed = _git("status", "--porcelain", "--", "pipitshed")
    return _git("log", "-1", "--format=%h", "--abbrev=8", "--", "pipitshed") + ("+" if changed else "")


def machine() -> str:
    """What ran it."""
    return f"{os.cpu_count()} cores, {platform.system()}, Python {platform.python_version()}"


def run_of(slope: str, command: str, rows: Iterable[Row]) -> Run:
    """Rows just measured, as a run."""
    return Run(slope, command, commit(), datetime.now(UTC).strftime("%Y-%m-%d %H:%M"), machine(), list(rows))
