"""The operators' address: whether the process is ready, and its figures."""
