"""Prints the pytest options that pass over the tests of KNOWN-RED.txt, and tells the reader which and why.

A line is `test id | cause | issue`; more than three, or one that lacks a part, ends CI."""

from __future__ import annotations

import sys
from pathlib import Path

MOST = 3


def options(text: str) -> list[str]:
    """One `--deselect` for each line; ValueError where the file breaks its rules."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} lines, {MOST} at most")
    chosen = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"not `test | cause | issue`: {line}")
        if "::" not in parts[0] or any(letter.isspace() for letter in parts[0]):
            raise ValueError(f"not the id of one test: {parts[0]}")
        chosen.append(f"--deselect={parts[0]}")
    return chosen


def main(path: Path) -> int:
    """Print the options for this file, none where there is none; 1 where it breaks its rules."""
    text = path.read_text() if path.exists() else ""
    try:
        print(" ".join(options(text)))
    except ValueError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 1
    for line in text.splitlines():
        print(f"known red, passed over: {line}", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
