"""Sends attempts to workers over gRPC, version 2 of the worker interface.

The outcomes follow the table in docs/design/translation.md.
"""

from __future__ import annotations

from pipitshed.upstream.grpc.client import GrpcWorkerClient

__all__ = ["GrpcWorkerClient"]
