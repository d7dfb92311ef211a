"""Finds line numbers in a TOML file, as the TOML parser gives none."""

from __future__ import annotations

import re

_HEADER = re.compile(r"\s*\[\[?\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"\s*((?:\"[^\"]+\"|[\w-]+)(?:\.(?:\"[^\"]+\"|[\w-]+))*)\s*=")


def line_of_key(text: str, *path: str) -> int:
    """The line of a key path outside arrays of tables, or of its longest prefix in the file; else 1."""
    return line_of_item(text, path[0], -1, *path[1:])


def line_of_item(text: str, list_name: str, index: int, *path: str) -> int:
    """The line of a key path in item `index` of an array of tables (-1: in a plain table).

    If the file lacks the whole path, it is the line of its longest prefix there; 1 if there is none.
    """
    best_line, best_depth, item_index = 1, -1, -1
    table: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            table = [part.strip().strip('"') for part in header[1].split(".")]
            if table == [list_name] and line.lstrip().startswith("[["):
                item_index += 1
            names = table
        elif key := _KEY.match(line):
            names = table + [part.strip('"') for part in key[1].split(".")]
        else:
            continue
        if item_index != index or names[:1] != [list_name]:
            continue
        matched = 0
        for found, expected in zip(names[1:], path, strict=False):
            if found != expected:
                break
            matched += 1
        if matched == len(names) - 1 and matched > best_depth:
            best_line, best_depth = number, matched
    return best_line
