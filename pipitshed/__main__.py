"""Entry point of `python -m pipitshed`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # A SIGHUP before its handler is installed would end the process, so signals are blocked until
    # Scheduler.run unblocks them.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from pipitshed.cli.commands import main  # noqa: E402

if __name__ == "__main__":
    main()
