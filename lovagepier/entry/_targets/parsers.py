"""Parsers of targets' responses."""

import h11

__all__ = ["MAX_HEAD_BYTES", "make_parser"]

# Limit on the head of a target's response.
MAX_HEAD_BYTES = 64 * 1024


def make_parser(method=b"GET", target=b"/"):
    """Return an h11 client that expects a response to a request.

    h11 expects one for each request. A parser for a further response is told of a
    request that is not sent again.
    """
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.send(h11.Request(method=method, target=target, headers=[(b"host", b"-")]))
    http.send(h11.EndOfMessage())
    return http
