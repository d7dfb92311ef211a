"""The HTTP/1.1 front end: clients that submit one job with each POST request."""

from __future__ import annotations

from pipitshed.frontends.http.frontend import STOPPING_LINGER_S, HttpFrontend
from pipitshed.frontends.http.request_parser import ClientForms, MalformedError, RequestParser

__all__ = ["STOPPING_LINGER_S", "ClientForms", "HttpFrontend", "MalformedError", "RequestParser"]
