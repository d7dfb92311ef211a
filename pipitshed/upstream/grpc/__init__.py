"""Attempts to workers that speak gRPC, the second version of the worker interface.

The outcomes follow the table in docs/design/translation.md.
"""

from __future__ import annotations

from pipitshed.upstream.grpc.client import GrpcWorkerClient

__all__ = ["GrpcWorkerClient"]
