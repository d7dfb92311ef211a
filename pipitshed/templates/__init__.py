"""Example files that `pipitshed init` writes, and that the testbed uses."""
