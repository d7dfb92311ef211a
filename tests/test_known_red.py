"""What CI passes over: just the tests of KNOWN-RED.txt, three at most, each with its cause and issue."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"


def run(path: Path):
    return subprocess.run(
        [sys.executable, SCRIPT, path], capture_output=True, text=True, timeout=20, check=False
    )


def test_without_the_file_nothing_is_passed_over(tmp_path):
    done = run(tmp_path / "KNOWN-RED.txt")
    assert (done.returncode, done.stdout.strip(), done.stderr) == (0, "", "")


def test_each_line_is_passed_over_and_printed(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("tests/a.py::test_one | a cause | 33\ntests/b.py::test_two[x] | another | 12\n")
    done = run(path)
    assert done.stdout.split() == ["--deselect=tests/a.py::test_one", "--deselect=tests/b.py::test_two[x]"]
    assert done.stderr.count("known red") == 2 and "a cause" in done.stderr


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_one | a cause\n",
        "tests/a.py::test_one | | 33\n",
        "tests/a.py | a whole file | 33\n",
        "tests/a.py::test_one -k none | an option more | 33\n",
        "tests/a.py::test_one | cause | 33\n" * 4,
    ],
)
def test_a_file_that_breaks_its_rules_ends_ci(tmp_path, text):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    done = run(path)
    assert done.returncode == 1 and done.stdout == ""
