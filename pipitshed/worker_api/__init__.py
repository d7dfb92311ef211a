"""The messages of worker interface 2, generated from docs/interfaces/planner.proto."""
