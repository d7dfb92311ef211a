"""Seeded soak test of a running scheduler process with stand-in clients, workers and discovery.

The rules are checked against the stand-ins' records and the process's exit code, log and memory, never
against the scheduler's own counters.

    python -m benchmarks.soak --seeds 1-50 --report DIR
    python -m benchmarks.soak --seeds 7          # repeat one seed
"""
