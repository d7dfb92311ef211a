"""The scheduler's node in its cluster: transport, the event log, and settings that are replicated by row."""
