"""The adapter for plain HTTP services; base of the other HTTP adapters."""

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from lovagepier.http_pools import PoolManager
from lovagepier.targets._port import (
    NotDispatched,
    Stream,
    TargetAdapter,
    TargetBroken,
    register_adapter,
)

__all__ = ["HttpAdapter"]

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 128
READ_BYTES = 65536
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
        return Stream(resp.status, resp.headers, _chunks(resp), _closer(resp))

    def dispatch(self, request, timeout):
        """Send `request`, a `TargetRequest`, once; return a `Stream`.

        Raise `NotDispatched` if no connection could be made, otherwise
        `TargetBroken`.
        """
        return self._open(
            request.method, request.path, request.body, request.headers, timeout
        )


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
