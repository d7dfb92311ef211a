"""The adapter: the same decisions on the simulator's wire."""
