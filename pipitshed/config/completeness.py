"""Checks that a configuration file read at SIGHUP has all the keys of the file in force."""

from __future__ import annotations

from typing import Any

WHOLE_FILE = "the whole file"


def missing_key(before: Any, after: Any, path: str = "") -> str | None:
    """Return the first key of `before`, the file in force, that `after` lacks; None where it has them all.

    Objects are compared recursively. A list of objects (classes, tenants, workers) may gain and lose items;
    each object in it must have the keys that are common to all objects of the list in force.
    """
    if not isinstance(before, dict):
        return None
    if not isinstance(after, dict):
        return path or WHOLE_FILE
    for key, value in before.items():
        key_path = f"{path}.{key}" if path else key
        if key not in after:
            return key_path
        if isinstance(value, dict):
            missing = missing_key(value, after[key], key_path)
        else:
            missing = _missing_in_list(value, after[key], key_path)
        if missing is not None:
            return missing
    return None


def _missing_in_list(before: Any, after: Any, path: str) -> str | None:
    """Return the first key that an object of the list `after` lacks; None where `before` is no such list."""
    if not isinstance(before, list) or not before or not all(isinstance(item, dict) for item in before):
        return None
    if not isinstance(after, list):
        return path
    common_keys = set.intersection(*(set(item) for item in before))
    for index, item in enumerate(after):
        if not isinstance(item, dict):
            return f"{path}[{index}]"
        if missing := sorted(common_keys - set(item)):
            return f"{path}[{index}].{missing[0]}"
    return None
