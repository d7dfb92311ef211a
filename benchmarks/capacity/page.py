"""Renders the generated tables between the markers of docs/CAPACITY.md, and compares page and JSON."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Mapping

from benchmarks.capacity.records import ROOT, Run
from benchmarks.capacity.tables import TABLES

PAGE = ROOT / "docs" / "CAPACITY.md"
BLOCK = re.compile(r"(<!-- capacity:([a-z0-9-]+) -->\n).*?(<!-- /capacity -->)", re.DOTALL)


class PageError(ValueError):
    """The page has a marker for an unknown table."""


def render(
    text: str, runs: Mapping[str, Run], tables: Mapping[str, Callable[[Mapping[str, Run]], str]] = TABLES
) -> str:
    """The page with each marked block rendered again."""

    def block(match: re.Match[str]) -> str:
        begin, name, end = match.groups()
        if name not in tables:
            raise PageError(f"no table {name!r}: {', '.join(tables)}")
        return f"{begin}{tables[name](runs)}\n{end}"

    return BLOCK.sub(block, text)


def page_diff(text: str, runs: Mapping[str, Run]) -> str:
    """A unified diff from the page to its rendering of these runs; empty if they agree."""
    wanted = render(text, runs)
    return "".join(
        difflib.unified_diff(text.splitlines(True), wanted.splitlines(True), "the page", "what the JSON says")
    )
