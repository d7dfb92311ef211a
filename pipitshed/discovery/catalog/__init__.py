"""The discovery service's catalog: a client that keeps the endpoint list up to date by watching it."""

from __future__ import annotations

from pipitshed.discovery.catalog.client import SOURCE, CatalogClient
from pipitshed.discovery.catalog.endpoint_parser import EndpointParser, InterfaceResolver, NameIndex
from pipitshed.discovery.catalog.size_limit import update_size_limit
from pipitshed.discovery.catalog.update_parser import CatalogEntry, CatalogUpdate

__all__ = [
    "SOURCE",
    "CatalogClient",
    "CatalogEntry",
    "CatalogUpdate",
    "EndpointParser",
    "InterfaceResolver",
    "NameIndex",
    "update_size_limit",
]
