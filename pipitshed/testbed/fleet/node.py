"""Starts the program with a clock that stands off by some seconds, as on a machine whose clock is wrong.

python -m pipitshed.testbed.fleet.node SECONDS serve --fleet FILE
"""

from __future__ import annotations

import sys
import time


def main() -> None:
    """Set the clock off, then be the program."""
    off = float(sys.argv.pop(1))
    right = time.time
    time.time = lambda: right() + off
    from pipitshed.cli.commands import main as program

    program(prog_name="pipitshed")


if __name__ == "__main__":
    main()
