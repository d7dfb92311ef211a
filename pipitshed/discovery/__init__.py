"""Sources of the endpoint list: the catalog service, DNS-SD, and what else is known of each endpoint."""
