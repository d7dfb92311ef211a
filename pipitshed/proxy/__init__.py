"""Request handling between frontends and worker clients: attempts, endpoints and the one final answer."""
