"""Checks that a configuration file read at SIGHUP holds all the keys of the one in force."""

from __future__ import annotations

from typing import Any

WHOLE_FILE = "the whole file"


def missing_key(before: Any, after: Any, path: str = "") -> str | None:
    """Find the first key of `before`, the file in force, that `after` lacks; None where it lacks none.

    Objects are compared key by key, all the way down. In a list of objects (classes, tenants, workers), each
    object of `after` must hold the keys that every object of `before` holds: items may come and go.
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
    """Compare lists of objects; other values have no keys to lack."""
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
