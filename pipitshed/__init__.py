"""A job scheduler and protocol translator; `Dispatcher` makes its decisions and works without I/O."""

from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.settings import Settings

__version__ = "0.2.0"

__all__ = ["Dispatcher", "Settings", "__version__"]
