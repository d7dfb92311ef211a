"""Whether a configuration file read at SIGHUP is whole, beside the one in force."""

from __future__ import annotations

from typing import Any


def missing_key(before: Any, after: Any, path: str = "") -> str | None:
    """The first key that `after` lacks, where `before` (the file in force) has it; None where it lacks none.

    Objects are compared key by key, all the way down. In a list of objects (classes, tenants, planners), each
    object of `after` must hold the keys that every object of `before` holds, as they may come and go.
    """
    if not isinstance(before, dict):
        return None
    if not isinstance(after, dict):
        return path or "the whole file"
    for key, value in before.items():
        here = f"{path}.{key}" if path else key
        if key not in after:
            return here
        if isinstance(value, dict):
            if (found := missing_key(value, after[key], here)) is not None:
                return found
        elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
            common = set.intersection(*(set(item) for item in value))
            told = after[key]
            if not isinstance(told, list):
                return here
            for place, item in enumerate(told):
                if not isinstance(item, dict):
                    return f"{here}[{place}]"
                if missing := sorted(common - set(item)):
                    return f"{here}[{place}].{missing[0]}"
    return None
