"""A scheduler that pushes jobs to planners; its decisions can be used on their own."""

from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.settings import Settings

__version__ = "0.2.0"

__all__ = ["Dispatcher", "Settings", "__version__"]
