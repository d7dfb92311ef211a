"""The life of a request between frontends and upstream clients: attempts, endpoints, the one final answer."""
