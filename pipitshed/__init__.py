"""A scheduler that pushes jobs to planners; its decisions can be used on their own."""

from pipitshed.decisions.interface import Settings
from pipitshed.decisions.rules import Dispatcher

__version__ = "0.2.0"

__all__ = ["Dispatcher", "Settings", "__version__"]
