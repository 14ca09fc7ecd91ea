"""A thin layer over cheroot: requests, responses and problem details."""

import contextlib
import json
import socket
import threading
import time
from http import HTTPStatus
from urllib.parse import parse_qs, unquote

from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from lovagepier.errors import ErrorKind, RequestError, error_spec

__all__ = ["Request", "Response", "WebServer", "json_response", "problem_response"]

ACCEPT_BACKLOG = 512
IDLE_TIMEOUT_S = 15
MAX_KEEPALIVE_CONNECTIONS = 4096
BODY_TIMEOUT_S = 15.0
BODY_CHECK_INTERVAL_S = 1.0
# With more of the body unread, the connection is closed instead of reading the rest.
MAX_UNREAD_BYTES = 64 * 1024
# The gateway puts cheroot's request object into the WSGI environment as this.
_SERVER_REQUEST = "lovagepier.connection"


class _BodyTimeouts:
    """Aborts the reading of bodies that take too long; one thread watches all."""

    def __init__(self):
        self._watched = {}
        self._lock = threading.Lock()
        self._thread = None

    @contextlib.contextmanager
    def watch(self, req):
        """Shut down reading on the connection of `req` after `BODY_TIMEOUT_S`.

        Use it as a context manager around the reading of the body; None watches
        nothing.
        """
        if req is None:
            yield
            return
        key = id(req)
        with self._lock:
            self._watched[key] = (time.monotonic() + BODY_TIMEOUT_S, req)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
        try:
            yield
        finally:
            with self._lock:
                self._watched.pop(key, None)

    def _run(self):
        while True:
            time.sleep(BODY_CHECK_INTERVAL_S)
            now = time.monotonic()
            with self._lock:
                overdue = [req for due, req in self._watched.values() if due <= now]
            for req in overdue:
                with contextlib.suppress(OSError):
                    req.conn.socket.shutdown(socket.SHUT_RD)


_body_timeouts = _BodyTimeouts()


class _Gateway(wsgi.Gateway_10):
    """cheroot's gateway, which gives the application access to the connection."""

    def get_environ(self):
        """Return the WSGI environment with cheroot's request object added."""
        environ = super().get_environ()
        environ[_SERVER_REQUEST] = self.req
        return environ


def _close_if_unread(environ):
    """Close the connection after the response if the body may be left unread.

    That is so if much of it is unread, or if the caller sent an Expect header.
    """
    req = environ.get(_SERVER_REQUEST)
    if req is None:
        return
    unread = getattr(req.rfile, "remaining", 0)
    if unread > MAX_UNREAD_BYTES or req.inheaders.get(b"Expect"):
        req.close_connection = True


SHUTDOWN_TIMEOUT_S = 5
MAX_HEAD_BYTES = 32 * 1024
READ_CHUNK_BYTES = 64 * 1024


class Request:
    """One HTTP request, made from its WSGI environment."""

    __slots__ = ("_body", "environ", "method", "path", "query")

    def __init__(self, environ):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ.get("PATH_INFO", "/")
        self.query = parse_qs(environ.get("QUERY_STRING", ""))
        self._body = None

    def header(self, name, default=""):
        """Return the value of a header, by its name as in HTTP."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key, default)
        return self.environ.get(f"HTTP_{key}", default)

    def close_connection(self):
        """Close the caller's connection after the response."""
        req = self.environ.get(_SERVER_REQUEST)
        if req is not None:
            req.close_connection = True

    def path_segments(self):
        """Return the non-empty segments of the path, percent-decoded."""
        return [unquote(segment) for segment in self.path.split("/") if segment]

    def query_param(self, name, default=None):
        """Return the first value of a query parameter."""
        return self.query.get(name, [default])[0]

    def body(self, limit):
        """Return the whole body, which is read once.

        Raise `RequestError` if it is longer than `limit` bytes, truncated or too
        slow. A body with a Content-Length above the limit is not read at all.
        """
        if self._body is not None:
            return self._body
        self._body = self._read_body(limit)
        return self._body

    def _read_body(self, limit):
        with _body_timeouts.watch(self.environ.get(_SERVER_REQUEST)):
            return self._read_by_framing(limit)

    def _read_by_framing(self, limit):
        if "chunked" in self.header("Transfer-Encoding").lower():
            return self._read_chunked(limit)
        text = self.header("Content-Length", "0") or "0"
        if not text.isdigit():
            raise RequestError(ErrorKind.BAD_REQUEST, "Content-Length is not a number")
        length = int(text)
        if length > limit:
            raise RequestError(ErrorKind.TOO_LARGE, f"{length} bytes, {limit} allowed")
        data = self._read(length)
        if len(data) != length:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                f"the body ended after {len(data)} of {length} bytes",
            )
        return data

    def _read(self, length):
        try:
            return self.environ["wsgi.input"].read(length)
        except (OSError, ValueError) as exc:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"the body could not be read: {exc}"
            )

    def _read_chunked(self, limit):
        data = b""
        while chunk := self._read(READ_CHUNK_BYTES):
            data += chunk
            if len(data) > limit:
                raise RequestError(ErrorKind.TOO_LARGE, f"{limit} bytes are allowed")
        return data

    def json(self, limit=1 << 20):
        """Return the body decoded from JSON, None if empty; raise `RequestError`."""
        try:
            return json.loads(self.body(limit) or b"null")
        except (ValueError, RecursionError):
            raise RequestError(ErrorKind.BAD_REQUEST, "the body is not JSON")


class Response:
    """An HTTP response. `body` is bytes or an iterator of chunks."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, body=b"", headers=()):
        self.status = status
        self.body = body
        self.headers = list(headers)


def json_response(value, status=200, headers=()):
    """Return a `Response` with `value` as JSON."""
    body = json.dumps(value).encode()
    return Response(status, body, [("Content-Type", "application/json"), *headers])


def problem_response(exc, request_id="", extra=None):
    """Return a `Response` with the problem details (RFC 9457) of a `RequestError`.

    `extra` holds more members of the JSON object.
    """
    spec = error_spec(exc.kind)
    body = {
        "type": f"urn:lovagepier:error:{exc.kind}",
        "title": spec.title,
        "status": spec.status,
        "detail": exc.detail,
        "run": str(exc.run),
    }
    if request_id:
        body["request"] = request_id
    body.update(extra or {})
    headers = [("Content-Type", "application/problem+json"), ("X-Run", str(exc.run))]
    if exc.retry_after:
        headers.append(("Retry-After", str(max(1, round(exc.retry_after)))))
    return Response(spec.status, json.dumps(body).encode(), headers)


def _status_line(status):
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _wsgi_app(handle):
    def app(environ, start_response):
        response = _respond(handle, Request(environ))
        _close_if_unread(environ)
        body = response.body
        headers = list(response.headers)
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            start_response(_status_line(response.status), headers)
            return [body]
        start_response(_status_line(response.status), headers)
        return body

    return app


def _respond(handle, request):
    try:
        return handle(request)
    except RequestError as exc:
        return problem_response(exc)
    except Exception as exc:  # noqa: BLE001  no traceback may reach a caller
        error = RequestError(ErrorKind.INTERNAL, type(exc).__name__)
        return problem_response(error)


class _Server(wsgi.Server):
    """cheroot's server without its messages on standard error."""

    def error_log(self, msg="", level=20, traceback=False):
        """Discard the message: broken connections are expected."""


class WebServer:
    """A server on one address with its own pool of worker threads.

    `handle(request)` returns a `Response` or raises `RequestError`. With a
    certificate the server uses TLS.
    """

    def __init__(self, address, handle, threads, certificate="", private_key=""):
        self._server = _Server(
            address,
            _wsgi_app(handle),
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            server_name="lovagepier",
        )
        self._server.gateway = _Gateway
        self._server.keep_alive_conn_limit = MAX_KEEPALIVE_CONNECTIONS
        self._server.max_request_header_size = MAX_HEAD_BYTES
        if certificate:
            self._server.ssl_adapter = BuiltinSSLAdapter(certificate, private_key)

    def bind(self):
        """Start to listen; raise OSError if the address is in use."""
        self._server.prepare()

    @property
    def port(self):
        """The port that the server listens on."""
        return self._server.bind_addr[1]

    def serve(self):
        """Serve requests until `stop` is called; blocks."""
        self._server.serve()

    def stop(self):
        """Stop accepting connections and end the worker threads."""
        with contextlib.suppress(Exception):
            self._server.stop()
