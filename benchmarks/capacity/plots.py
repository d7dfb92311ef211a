"""Plots of the slopes: the measured points and the fitted lines."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity import requirements
from benchmarks.capacity.figures import Line, Runs
from benchmarks.capacity.records import ROOT

FOLDER = ROOT / "docs" / "figures"
STEPS = 60  # points of a fitted line
PICTURES: dict[str, tuple[str, Sequence[Line]]] = {
    "planners": (
        "planners listed",
        (
            requirements.FIRST_JOB,
            requirements.MEMORY,
            requirements.LIST_CHANGE,
            requirements.ZONE_LOST_ONE_READ,
            requirements.DECISIONS,
        ),
    ),
    "tasks": (
        "tasks held, or started a second, by one scheduler",
        (
            requirements.HELD_MEMORY,
            requirements.HELD_CPU,
            requirements.HELD_DESCRIPTORS,
            requirements.STARTS_CPU,
        ),
    ),
    "schedulers": (
        "schedulers",
        (requirements.VIEW_BYTES, requirements.VIEW_CPU, requirements.JOIN_SECOND, requirements.ZONE_SETTLED),
    ),
}


def draw(runs: Runs, folder: Path = FOLDER) -> list[Path]:
    """Write capacity-NAME.png for each picture with at least one measured point; their paths."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    written = []
    for name, (label, lines) in PICTURES.items():
        if not any(line.points(runs) for line in lines):
            continue
        figure, axes = plt.subplots(1, len(lines), figsize=(3.6 * len(lines), 3.2))
        for axis, line in zip(axes, lines, strict=True):
            points, fitted = line.points(runs), line.fit(runs)
            axis.plot([size for size, _ in points], [value for _, value in points], "o")
            if fitted is not None:
                sizes = [fitted.largest * step / STEPS for step in range(1, STEPS + 1)]
                axis.plot(sizes, [fitted.at(size).value for size in sizes], "-", linewidth=1)
            axis.set_title(f"{line.slope}, {line.case}: {line.figure}", fontsize=8)
            axis.set_ylabel(line.unit, fontsize=8)
            axis.tick_params(labelsize=7)
            axis.set_ylim(bottom=0)
        figure.supxlabel(label, fontsize=8)
        figure.tight_layout()
        written.append(folder / f"capacity-{name}.png")
        figure.savefig(written[-1], dpi=80)
        plt.close(figure)
    return written
