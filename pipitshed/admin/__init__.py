"""The operators' HTTP address: readiness and metrics."""
