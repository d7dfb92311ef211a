"""Parses workers' load reports: named numbers, returned in the order of the settings."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec


def parse_load_report(text: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """Return a report's values for these fields (`TEXT a=1, b=2` or JSON); empty if it can't be parsed."""
    values: dict[str, float] = {}
    body = text.strip().removeprefix(b"TEXT").removeprefix(b"JSON").strip()
    try:
        if body.startswith(b"{"):
            values = msgspec.json.decode(body, type=dict[str, float])
        else:
            for part in body.decode("latin-1").split(","):
                name, _, value = part.partition("=")
                if value:
                    values[name.strip()] = float(value)
    except (ValueError, msgspec.DecodeError):
        return ()
    return ordered_report(values, fields)


def ordered_report(values: dict[str, float], fields: Sequence[str]) -> tuple[float, ...]:
    """Return the values in the order of the fields; empty if one is missing or not finite.

    A missing field must not count as 0: depending on the field, 0 means that the worker is full or idle.
    """
    report = tuple(values.get(name, math.nan) for name in fields)
    return report if all(map(math.isfinite, report)) else ()
