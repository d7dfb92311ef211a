"""python -m pipitshed"""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # Guards against a signal that comes before its handler is there: a SIGHUP would end the program.
    # They wait until the scheduler lets them through (Scheduler.run).
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from pipitshed.cli.commands import main  # noqa: E402

if __name__ == "__main__":
    main()
