"""Sources of the endpoint list (catalog service, DNS-SD), of workers' interfaces and of planned weights."""
