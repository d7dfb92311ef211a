"""The text of the metrics that the admin address serves: one `name=value` line each. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from pipitshed.proxy.request_end import RequestEnd

PREFIX = "scheduler"

# The metric that counts the requests with each end; withdrawn ones are not counted.
METRIC_BY_END: dict[str, str] = {
    RequestEnd.SUCCEEDED: "answered",
    RequestEnd.REJECTED: "deferred",
    RequestEnd.FAILED: "errored",
    RequestEnd.UNTRANSLATABLE: "errored",
    RequestEnd.OVERDUE: "errored",
}
CLASS_METRICS = ("answered", "deferred", "errored", "sends")


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values; the field names are published as metric names."""

    current: int  # requests that wait for their answer
    cluster_size: int  # listed workers, ready or draining
    cluster_unhealthy: int  # those of them that the dispatcher excludes at present
    conf_loaded: int  # configuration files applied at SIGHUP
    conf_invalid: int  # configuration files rejected at SIGHUP


def counts_by_class(
    names: Sequence[str], ended: Mapping[tuple[str, int], int], sends: Mapping[int, int]
) -> dict[str, dict[str, int]]:
    """Sum the counts by metric and class name.

    Args:
        names: The name of each class number; the counts of numbers with the same name (of a class that a
            new file changed) are added up.
        ended: Ended requests by `RequestEnd` and class number.
        sends: Attempts whose last byte was written, by class number.
    """
    counts = {metric: dict.fromkeys(names, 0) for metric in CLASS_METRICS}
    for (end, class_number), count in ended.items():
        metric = METRIC_BY_END.get(end)
        if metric is not None and class_number < len(names):
            counts[metric][names[class_number]] += count
    for class_number, count in sends.items():
        if class_number < len(names):
            counts["sends"][names[class_number]] += count
    return counts


def render(counts: Mapping[str, Mapping[str, int]], gauges: Gauges) -> bytes:
    """The text of `/-/metrics`: counts by class in the order of the names, then the total and the gauges."""
    lines: list[str] = []
    for metric in CLASS_METRICS:
        lines += [f"{PREFIX}.{metric}.{name}={count}" for name, count in counts.get(metric, {}).items()]
    lines.append(f"{PREFIX}.sends={sum(counts.get('sends', {}).values())}")
    lines += [f"{PREFIX}.{name}={value}" for name, value in _gauge_values(gauges)]
    return ("\n".join(lines) + "\n").encode()


def count_lines(counts: Mapping[str, int]) -> bytes:
    """The lines of further counts, such as discovery requests; published only with the cluster's metrics."""
    return "".join(
        f"{PREFIX}.{name.replace(' ', '_')}={count}\n" for name, count in sorted(counts.items())
    ).encode()


def _gauge_values(gauges: Gauges) -> Iterable[tuple[str, int]]:
    return (
        ("current", gauges.current),
        ("cluster_size", gauges.cluster_size),
        ("cluster_unhealthy", gauges.cluster_unhealthy),
        ("conf_loaded", gauges.conf_loaded),
        ("conf_invalid", gauges.conf_invalid),
    )


def parse(text: bytes) -> dict[str, int]:
    """Parse a `/-/metrics` text into values by name, for tests and operators' scripts."""
    metrics = {}
    for line in text.decode().splitlines():
        name, _, value = line.partition("=")
        if name and value:
            metrics[name] = int(value)
    return metrics
