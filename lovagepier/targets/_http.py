"""The adapter for plain HTTP services, and the transport others build on."""

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from lovagepier.targets._port import (
    NotDispatched,
    Stream,
    TargetAdapter,
    TargetBroken,
    adapter,
)

__all__ = ["HttpAdapter"]

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 128
READ_BYTES = 65536
_NOT_SENT = (NewConnectionError, ConnectTimeoutError, NameResolutionError)


@adapter("http")
class HttpAdapter(TargetAdapter):
    """Plain HTTP without automatic retries or redirects."""

    def __init__(self, target):
        super().__init__(target)
        self._pool = urllib3.connectionpool.connection_from_url(
            target.address,
            maxsize=MAX_CONNECTIONS,
            block=False,
            retries=False,
        )

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
        except _NOT_SENT as exc:
            raise NotDispatched(f"{self.target.name}: {type(exc).__name__}")
        except HTTPError as exc:
            raise TargetBroken(f"{self.target.name}: {type(exc).__name__}")
        return Stream(resp.status, resp.headers, _chunks(resp), _closer(resp))

    def dispatch(self, exchange, timeout):
        """Send a request one time; return a `Stream`."""
        return self._open(
            exchange.method, exchange.path, exchange.body, exchange.headers, timeout
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
        # A connection with an unread answer must not be used again.
        resp.close()

    return close
