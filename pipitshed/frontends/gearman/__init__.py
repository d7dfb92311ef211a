"""The Gearman front end: clients that submit jobs, workers that run them, and the text commands.

All of them use the same address. Packets from workers are handled by upstream.gearman. Clients' jobs go
through the deduplication table, so that a resubmitted job joins the one that is already running.
"""

from __future__ import annotations

from pipitshed.frontends.gearman.frontend import GearmanFrontend, GearmanFunction

__all__ = ["GearmanFrontend", "GearmanFunction"]
