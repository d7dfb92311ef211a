"""Starts the scheduler with a clock that is wrong by some seconds, as on a machine with a wrong clock.

python -m pipitshed.testbed.fleet.node SECONDS serve --fleet FILE
"""

from __future__ import annotations

import sys
import time


def main() -> None:
    """Shift `time.time`, then run the pipitshed command."""
    offset = float(sys.argv.pop(1))
    original_time = time.time
    time.time = lambda: original_time() + offset
    from pipitshed.cli.commands import main as pipitshed_main

    pipitshed_main(prog_name="pipitshed")


if __name__ == "__main__":
    main()
