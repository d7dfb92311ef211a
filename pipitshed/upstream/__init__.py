"""The clients that send attempts to workers over HTTP, gRPC and Gearman."""
