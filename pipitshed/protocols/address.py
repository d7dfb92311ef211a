"""Network addresses in the form `host:port` that settings and discovery records use."""

from __future__ import annotations

Address = tuple[str, int]
"""Host and port."""

_MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Split `host:port`, with an IPv6 host in brackets; ValueError for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)
