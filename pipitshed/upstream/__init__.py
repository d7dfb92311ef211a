"""The clients that carry attempts to workers over HTTP, gRPC and Gearman."""
