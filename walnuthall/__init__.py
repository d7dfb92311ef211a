"""Decisions of a dispatcher that pushes jobs to workers."""

from walnuthall.interface import Settings
from walnuthall.rules import Dispatcher

__all__ = ["Dispatcher", "Settings"]
