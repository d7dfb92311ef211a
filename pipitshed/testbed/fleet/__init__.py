"""Several scheduler processes with faults between them, and oracles that judge their views."""
