"""CI deselects the tests in KNOWN-RED.txt; an invalid entry in the file fails CI."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / ".ci" / "known_red.py"


def run_script(path: Path):
    return subprocess.run(
        [sys.executable, SCRIPT, path], capture_output=True, text=True, timeout=20, check=False
    )


@pytest.fixture
def known_red_path(tmp_path: Path) -> Path:
    """Path of a KNOWN-RED.txt, not yet written, in a tree with two tests."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "a.py").write_text("def test_one():\n    pass\n\n\ndef test_two(x):\n    pass\n")
    return tmp_path / "KNOWN-RED.txt"


def test_no_test_is_deselected_without_the_file(known_red_path):
    result = run_script(known_red_path)
    assert (result.returncode, result.stdout.strip(), result.stderr) == (0, "", "")


def test_each_entry_is_deselected_and_printed(known_red_path):
    known_red_path.write_text(
        "tests/a.py::test_one | pytest -n auto, seed 4 | 500 for 503 | 33\n"
        "tests/a.py::test_two[x] | pytest | hangs | #12\n"
    )
    result = run_script(known_red_path)
    assert result.stdout.split() == ["--deselect=tests/a.py::test_one", "--deselect=tests/a.py::test_two[x]"]
    assert result.stderr.count("known red") == 2 and "500 for 503" in result.stderr


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
def test_an_invalid_entry_fails_ci(known_red_path, text):
    known_red_path.write_text(text)
    result = run_script(known_red_path)
    assert result.returncode == 1 and result.stdout == "" and str(known_red_path) in result.stderr


def test_known_red_of_this_tree_is_valid():
    assert run_script(ROOT / "KNOWN-RED.txt").returncode == 0
