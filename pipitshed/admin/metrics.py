"""The figures as the operators' address gives them: one `name=value` line each. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

PREFIX = "scheduler"

# How an exchange ended, as the core counts it, to the figure that counts it.
BY_END = {
    "served": "answered",
    "refused": "deferred",
    "failed": "errored",
    "unfit": "errored",
    "overdue": "errored",
}
PER_CLASS = ("answered", "deferred", "errored", "sends")


@dataclass(frozen=True, slots=True)
class Gauges:
    """What stands at the moment of the call."""

    current: int  # exchanges taken and not yet ended
    cluster_size: int  # planners listed as ready or draining
    cluster_unhealthy: int  # of them, those that the decisions pass over at present
    conf_loaded: int  # files taken at SIGHUP
    conf_invalid: int  # files turned down at SIGHUP


def by_class(
    names: Sequence[str], ended: Mapping[tuple[str, int], int], sends: Mapping[int, int]
) -> dict[str, dict[str, int]]:
    """Counts by figure and class name. `names` gives each class number its name; a name that stands for
    several numbers (a class that a new file changed) sums them.
    """
    counts = {figure: dict.fromkeys(names, 0) for figure in PER_CLASS}
    for (how, number), count in ended.items():
        figure = BY_END.get(how)
        if figure is not None and number < len(names):
            counts[figure][names[number]] += count
    for number, count in sends.items():
        if number < len(names):
            counts["sends"][names[number]] += count
    return counts


def render(counts: Mapping[str, Mapping[str, int]], gauges: Gauges) -> bytes:
    """The text of `/-/metrics`: by class first, in the order of the names, then the totals and gauges."""
    lines: list[str] = []
    for figure in PER_CLASS:
        lines += [f"{PREFIX}.{figure}.{name}={count}" for name, count in counts.get(figure, {}).items()]
    lines.append(f"{PREFIX}.sends={sum(counts.get('sends', {}).values())}")
    lines += [f"{PREFIX}.{name}={value}" for name, value in _gauges(gauges)]
    return ("\n".join(lines) + "\n").encode()


def count_lines(tally: Mapping[str, int]) -> bytes:
    """Further counts, such as those of the list's calls; told beside the fleet's figures alone."""
    return "".join(
        f"{PREFIX}.{name.replace(' ', '_')}={count}\n" for name, count in sorted(tally.items())
    ).encode()


def _gauges(gauges: Gauges) -> Iterable[tuple[str, int]]:
    return (
        ("current", gauges.current),
        ("cluster_size", gauges.cluster_size),
        ("cluster_unhealthy", gauges.cluster_unhealthy),
        ("conf_loaded", gauges.conf_loaded),
        ("conf_invalid", gauges.conf_invalid),
    )


def parse(text: bytes) -> dict[str, int]:
    """The lines of a `/-/metrics` text, by name: for tests and for operators' scripts."""
    figures = {}
    for line in text.decode().splitlines():
        name, _, value = line.partition("=")
        if name and value:
            figures[name] = int(value)
    return figures
