"""Network addresses as settings and records write them."""

from __future__ import annotations

Address = tuple[str, int]
"""Host and port."""

_MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Host and port of `host:port`; an IPv6 host stands in brackets. ValueError for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)
