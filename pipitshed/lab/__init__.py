"""The laboratory: stand-in planners, discovery and clients on loopback, experiments with exact accounts."""
