"""Adapter that runs dispatchers under an external simulator, over its binary protocol."""
