"""The HTTP address for operators: readiness and metrics."""
