"""Encodes responses to HTTP clients."""

from __future__ import annotations

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def response(status: int, body: bytes, extra_headers: str, is_final: bool) -> bytes:
    """Encode one response.

    Args:
        status: The status code.
        body: The body.
        extra_headers: Complete header lines, each with its CRLF.
        is_final: Whether the connection closes after this response.
    """
    close = "Connection: close\r\n" if is_final else ""
    head = (
        f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}\r\n"
        f"Content-Length: {len(body)}\r\n{extra_headers}{close}\r\n"
    )
    return head.encode() + body
