"""What CI passes over: the tests of KNOWN-RED.txt, each with its command, what was seen and its issue."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / ".ci" / "known_red.py"


def run(path: Path):
    return subprocess.run(
        [sys.executable, SCRIPT, path], capture_output=True, text=True, timeout=20, check=False
    )


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """The file's place in a tree with two tests."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "a.py").write_text("def test_one():\n    pass\n\n\ndef test_two(x):\n    pass\n")
    return tmp_path / "KNOWN-RED.txt"


def test_without_the_file_nothing_is_passed_over(path):
    done = run(path)
    assert (done.returncode, done.stdout.strip(), done.stderr) == (0, "", "")


def test_each_entry_is_passed_over_and_printed(path):
    path.write_text(
        "tests/a.py::test_one | pytest -n auto, seed 4 | 500 for 503 | 33\n"
        "tests/a.py::test_two[x] | pytest | hangs | #12\n"
    )
    done = run(path)
    assert done.stdout.split() == ["--deselect=tests/a.py::test_one", "--deselect=tests/a.py::test_two[x]"]
    assert done.stderr.count("known red") == 2 and "500 for 503" in done.stderr


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_one | pytest | 500 for 503\n",
        "tests/a.py::test_one | | 500 for 503 | 33\n",
        "tests/a.py | pytest | a whole file | 33\n",
        "tests/a.py::test_one -k none | pytest | an option more | 33\n",
        "tests/a.py::test_one | pytest | 500 for 503 | later\n",
        "tests/a.py::test_three | pytest | no such test | 33\n",
        "tests/b.py::test_one | pytest | no such file | 33\n",
        "tests/a.py::test_one | pytest | 500 for 503 | 33\n" * 2,
        f"tests/a.py::test_one | pytest | {'long ' * 50} | 33\n",
    ],
)
def test_a_file_that_breaks_its_rules_ends_ci(path, text):
    path.write_text(text)
    done = run(path)
    assert done.returncode == 1 and done.stdout == "" and str(path) in done.stderr


def test_the_file_of_this_tree_keeps_its_rules():
    assert run(ROOT / "KNOWN-RED.txt").returncode == 0
