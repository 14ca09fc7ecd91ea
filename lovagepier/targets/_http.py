"""The adapter for plain HTTP services; base of the other HTTP adapters."""

import time

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from lovagepier.http_pools import PoolManager, read_whole
from lovagepier.targets._port import (
    NotDispatched,
    Stream,
    TargetAdapter,
    TargetBroken,
    register_adapter,
)

__all__ = ["HttpAdapter", "is_event_stream"]

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 128
READ_BYTES = 65536
# A response that is not a stream is held whole, up to this size.
MAX_WHOLE_BYTES = 4 * 1024 * 1024
# A response that is ready at the end of its timeout may take this long to arrive.
MAX_TRANSFER_S = 2.0
# Errors that are raised before any byte of the request is sent.
_CONNECT_ERRORS = (NewConnectionError, ConnectTimeoutError, NameResolutionError)


@register_adapter("http")
class HttpAdapter(TargetAdapter):
    """Plain HTTP without automatic retries or redirects.

    A retry by the transport could run a request twice.
    """

    def __init__(self, target):
        super().__init__(target)
        pools = PoolManager(maxsize=MAX_IDLE_CONNECTIONS, block=False, retries=False)
        self._pool = pools.connection_from_url(target.address)

    def _open(self, method, path, body, headers, timeout):
        """Send a request; return a `Stream`.

        A body that is no event stream ends soon after `timeout` and has at most
        `MAX_WHOLE_BYTES`: whoever reads it holds it whole.
        """
        until = time.monotonic() + timeout + MAX_TRANSFER_S
        try:
            resp = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except _CONNECT_ERRORS as exc:
            raise NotDispatched(f"{self.target.name}: {type(exc).__name__}")
        except HTTPError as exc:
            raise TargetBroken(f"{self.target.name}: {type(exc).__name__}")
        stream = Stream(resp.status, resp.headers, _chunks(resp), _closer(resp))
        if not is_event_stream(stream):
            stream.chunks = _whole(resp, until)
        return stream

    def dispatch(self, request, timeout):
        """Send `request`, a `TargetRequest`, once; return a `Stream`.

        Raise `NotDispatched` if no connection could be made, otherwise
        `TargetBroken`.
        """
        return self._open(
            request.method, request.path, request.body, request.headers, timeout
        )


def is_event_stream(stream):
    """Return whether a `Stream` is one of server-sent events."""
    return stream.headers.get("Content-Type", "").startswith("text/event-stream")


def _whole(resp, until):
    try:
        yield read_whole(resp, MAX_WHOLE_BYTES, until)
    except (HTTPError, OSError) as exc:
        raise TargetBroken(type(exc).__name__)


def _chunks(resp):
    try:
        yield from resp.stream(READ_BYTES, decode_content=False)
    except HTTPError as exc:
        raise TargetBroken(type(exc).__name__)
    except OSError as exc:
        raise TargetBroken(type(exc).__name__)
    resp.release_conn()


def _closer(resp):
    def close():
        # A connection with an unread response must not return to the pool.
        resp.close()

    return close
