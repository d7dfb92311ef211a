"""A plot of an overload simulation over time; needs matplotlib, which `requirements-dev.txt` installs."""

from __future__ import annotations

from pathlib import Path

from pipitshed.testbed.overload.figures import WINDOW_S, Count, OverloadFigures
from pipitshed.testbed.overload.scenario import OverloadScenario

DOTS_PER_INCH = 130


def draw(scenario: OverloadScenario, figures: OverloadFigures, path: Path) -> None:
    """Draw all counts per second, the offered load and the capacity; raises ImportError and OSError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    starts_s = [start_s for start_s, _ in figures.rows]
    for count in Count:
        rates = [row[count] / WINDOW_S for _, row in figures.rows]
        axes.step(starts_s, rates, where="post", label=str(count))
    offered = [scenario.jobs_per_s * scenario.load_factor(start_s) for start_s in starts_s]
    axes.step(starts_s, offered, "k:", where="post", label="offered")
    axes.axhline(scenario.capacity_per_s, color="grey", linestyle="--", label="capacity")
    axes.set(xlabel="seconds", ylabel="per second", title=f"Overload: {scenario.name}")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
