"""Decisions of a dispatcher that pushes jobs to workers."""

from pipitshed.interface import Settings
from pipitshed.rules import Dispatcher

__all__ = ["Dispatcher", "Settings"]
