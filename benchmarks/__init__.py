"""Benchmarks to run by hand; CI runs only the short soak."""
