"""The Gearman front end: clients that submit jobs, workers that run them, and the text commands.

All of them use the same address. What a worker sends goes to upstream.gearman. Clients' jobs go through the
deduplication table, so that a job that is submitted again joins the one that runs already.
"""

from __future__ import annotations

from pipitshed.frontends.gearman.frontend import GearmanFrontend, GearmanFunction

__all__ = ["GearmanFrontend", "GearmanFunction"]
