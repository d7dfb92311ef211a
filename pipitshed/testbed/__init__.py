"""Stand-ins for clients, planners and discovery, and experiments that run a scheduler between them."""
