"""Where a part of a TOML file stands: the library that reads it tells no lines."""

from __future__ import annotations

import re

_HEADER = re.compile(r"\s*\[\[?\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"\s*((?:\"[^\"]+\"|[\w-]+)(?:\.(?:\"[^\"]+\"|[\w-]+))*)\s*=")


def line_at(text: str, *path: str) -> int:
    """The line on which the deepest part of a place outside of lists of tables stands. 1 where nothing is."""
    return line_of(text, path[0], -1, *path[1:])


def line_of(text: str, list_name: str, index: int, *path: str) -> int:
    """The line on which the deepest part of a place stands that the text has: item `index` of a list of
    tables (-1: a table by itself), then keys. 1 where nothing is found.
    """
    best, depth, count = 1, -1, -1
    here: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            here = [part.strip().strip('"') for part in header[1].split(".")]
            if here == [list_name] and line.lstrip().startswith("[["):
                count += 1
            names = here
        elif key := _KEY.match(line):
            names = here + [part.strip('"') for part in key[1].split(".")]
        else:
            continue
        if count != index or names[:1] != [list_name]:
            continue
        same = 0
        for ours, theirs in zip(names[1:], path, strict=False):
            if ours != theirs:
                break
            same += 1
        if same == len(names) - 1 and same > depth:
            best, depth = number, same
    return best
