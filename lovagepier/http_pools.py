"""Connection pools of urllib3 for all HTTP clients of the program.

`http.client`, on which urllib3 builds, takes the end of a connection for the blank line
that ends the head of a response, and a chunk's size that is cut for a smaller size. The
pools made here raise `ProtocolError` instead, and also for a line of a head that is no
field. The response is lost, and the request may have run.

A timeout of urllib3 is for one read. A response that does not end is bounded by
`MAX_HEAD_BYTES` and by `read_whole`.
"""

import http.client
import io
import time

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool

__all__ = ["ResponseTooLong", "PoolManager", "read_whole", "request_whole"]

# Interim responses before a head count as a part of it.
MAX_HEAD_BYTES = 64 * 1024
READ_BYTES = 65536
_PROTOCOL = b"HTTP/1."


class ResponseTooLong(urllib3.exceptions.ProtocolError):
    """The body of a response exceeds its bound."""


class _LineReader(io.BufferedReader):
    """Reads a response; raises `RemoteDisconnected` where a line is cut.

    That is one of its head or of the framing of its chunks. A head has to have all of
    its lines; the lines after the last chunk may be missing. Raises `BadStatusLine`
    for a status line that has another one inside, or in place of a field.
    """

    is_in_head = False
    _is_status_next = True
    _head_bytes = 0

    def readline(self, limit=-1):
        line = super().readline(limit)
        if self.is_in_head:
            self._head_bytes += len(line)
            if self._head_bytes > MAX_HEAD_BYTES:
                raise http.client.LineTooLong("head")
        is_cut = not line.endswith(b"\n") and len(line) != limit
        if is_cut and (line or self.is_in_head):
            raise http.client.RemoteDisconnected("a line of the response is cut")
        if self.is_in_head and not self._may_follow(line):
            raise http.client.BadStatusLine("a line that is no part of a head")
        return line

    def _may_follow(self, line):
        is_status, is_blank = self._is_status_next, not line.strip()
        # The head of an interim response (1xx) is followed by another head.
        self._is_status_next = is_blank
        if is_status:
            return line.count(_PROTOCOL) <= 1
        return is_blank or b":" in line or line.startswith((b" ", b"\t"))


class _Response(http.client.HTTPResponse):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.fp = _LineReader(self.fp.detach())

    def begin(self):
        reader = self.fp
        reader.is_in_head = True
        super().begin()
        reader.is_in_head = False


class _Connection(HTTPConnection):
    response_class = _Response


class _SecureConnection(HTTPSConnection):
    response_class = _Response


class _Pool(HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


_POOLS = {"http": _Pool, "https": _SecurePool}


class PoolManager(urllib3.PoolManager):
    """A `urllib3.PoolManager` whose pools refuse responses with lines that are cut."""

    def __init__(self, **options):
        super().__init__(**options)
        self.pool_classes_by_scheme = _POOLS


def read_whole(resp, max_bytes, until):
    """Return the body of a response that was not preloaded.

    Raise `ResponseTooLong` beyond `max_bytes`, and `urllib3.exceptions.HTTPError` if it
    breaks off or has not ended by `until`, in monotonic seconds. The connection is
    closed then.
    """
    body = bytearray()
    try:
        while data := resp.read1(READ_BYTES):
            body += data
            if len(body) > max_bytes:
                raise ResponseTooLong("the response is too long")
            if time.monotonic() > until:
                raise urllib3.exceptions.ProtocolError("the response does not end")
    except BaseException:
        resp.close()
        raise
    resp.release_conn()
    return bytes(body)


def request_whole(http, method, url, max_bytes, seconds, **options):
    """Make a request; return (status, headers, body).

    The body has at most `max_bytes` and `seconds` from now on. Raise
    `urllib3.exceptions.HTTPError` as `read_whole`.
    """
    until = time.monotonic() + seconds
    resp = http.request(method, url, preload_content=False, **options)
    return resp.status, resp.headers, read_whole(resp, max_bytes, until)
