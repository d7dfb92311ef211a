"""Stand-ins for clients, workers and discovery, and experiments between them."""
