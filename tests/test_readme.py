"""Tests that the Python example in README.md runs unchanged."""

import re
from pathlib import Path


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    [example] = re.findall(r"```python\n(.*?)```", text, re.S)
    names: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), names)
    assert "start" in names
