"""Sends attempts to workers over HTTP, version 1 of the worker interface, from a pool of connections."""

from __future__ import annotations

from pipitshed.upstream.http.client import HttpWorkerClient
from pipitshed.upstream.http.load_report import ordered_report, parse_load_report

__all__ = ["HttpWorkerClient", "ordered_report", "parse_load_report"]
