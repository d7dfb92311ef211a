"""Runs the command line: `python -m pipitshed`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # A SIGHUP that comes before its handler is installed would end the program, so signals stay blocked
    # until the scheduler unblocks them (Scheduler.run).
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from pipitshed.cli.commands import main  # noqa: E402

if __name__ == "__main__":
    main()
