"""Parsers of targets' responses."""

import h11

__all__ = ["MAX_HEAD_BYTES", "make_parser"]

# Limit on the head of a target's response.
MAX_HEAD_BYTES = 64 * 1024


def make_parser(method=b"GET", target=b"/"):
    """Return an h11 client that expects the response to a request that was sent."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.send(h11.Request(method=method, target=target, headers=[(b"host", b"-")]))
    http.send(h11.EndOfMessage())
    return http
