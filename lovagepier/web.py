"""A thin layer over cheroot: requests, answers and problem details."""

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
KEPT_CONNECTIONS = 4096
BODY_TIMEOUT_S = 15.0
BODY_CHECK_S = 1.0
MAX_DRAINED_BYTES = 64 * 1024
_CONNECTION = "lovagepier.connection"


class _SlowBodies:
    """Ends the reading of bodies that take too long, from one thread."""

    def __init__(self):
        self._due = {}
        self._lock = threading.Lock()
        self._thread = None

    @contextlib.contextmanager
    def watched(self, req):
        """Watch the connection of `req` while its body is read."""
        if req is None:
            yield
            return
        key = id(req)
        with self._lock:
            self._due[key] = (time.monotonic() + BODY_TIMEOUT_S, req)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
        try:
            yield
        finally:
            with self._lock:
                self._due.pop(key, None)

    def _run(self):
        while True:
            time.sleep(BODY_CHECK_S)
            now = time.monotonic()
            with self._lock:
                late = [req for due, req in self._due.values() if due <= now]
            for req in late:
                with contextlib.suppress(OSError):
                    req.conn.socket.shutdown(socket.SHUT_RD)


_slow_bodies = _SlowBodies()


class _Gateway(wsgi.Gateway_10):
    """cheroot's gateway; it lets the application see the connection."""

    def get_environ(self):
        """Add the request to the environment."""
        environ = super().get_environ()
        environ[_CONNECTION] = self.req
        return environ


def _close_if_unread(environ):
    """Close the connection after the answer if much of the body is unread."""
    req = environ.get(_CONNECTION)
    if req is None:
        return
    left = getattr(req.rfile, "remaining", 0)
    if left > MAX_DRAINED_BYTES or req.inheaders.get(b"Expect"):
        req.close_connection = True


SHUTDOWN_TIMEOUT_S = 5
MAX_HEADER_BYTES = 32 * 1024
READ_CHUNK = 64 * 1024


class Request:
    """One HTTP request as cheroot hands it over."""

    __slots__ = ("_body", "environ", "method", "path", "query")

    def __init__(self, environ):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ.get("PATH_INFO", "/")
        self.query = parse_qs(environ.get("QUERY_STRING", ""))
        self._body = None

    def header(self, name, default=""):
        """Return a header's value by its usual name."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key, default)
        return self.environ.get(f"HTTP_{key}", default)

    def path_segments(self):
        """Return the path's parts, decoded."""
        return [unquote(part) for part in self.path.split("/") if part]

    def query_param(self, name, default=None):
        """Return the first value of a query argument."""
        return self.query.get(name, [default])[0]

    def body(self, limit):
        """Read the whole body; raise `RequestError` if it ends early.

        `limit` is in bytes; a larger body is refused before it is read.
        """
        if self._body is not None:
            return self._body
        self._body = self._read_body(limit)
        return self._body

    def _read_body(self, limit):
        with _slow_bodies.watched(self.environ.get(_CONNECTION)):
            return self._read_framed(limit)

    def _read_framed(self, limit):
        if "chunked" in self.header("Transfer-Encoding").lower():
            return self._read_stream(limit)
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

    def _read_stream(self, limit):
        data = b""
        while chunk := self._read(READ_CHUNK):
            data += chunk
            if len(data) > limit:
                raise RequestError(ErrorKind.TOO_LARGE, f"{limit} bytes are allowed")
        return data

    def json(self, limit=1 << 20):
        """Return the body as JSON; raise `RequestError` if it is not."""
        try:
            return json.loads(self.body(limit) or b"null")
        except (ValueError, RecursionError):
            raise RequestError(ErrorKind.BAD_REQUEST, "the body is not JSON")


class Response:
    """An answer: status, headers and a body or an iterator of chunks."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, body=b"", headers=()):
        self.status = status
        self.body = body
        self.headers = list(headers)


def json_response(value, status=200, headers=()):
    """Return an answer that carries `value` as JSON."""
    body = json.dumps(value).encode()
    return Response(status, body, [("Content-Type", "application/json"), *headers])


def problem_response(exc, request_id="", extra=None):
    """Return the problem details (RFC 9457) of a `RequestError`."""
    answer = error_spec(exc.kind)
    body = {
        "type": f"urn:lovagepier:error:{exc.kind}",
        "title": answer.title,
        "status": answer.status,
        "detail": exc.detail,
        "run": str(exc.run),
    }
    if request_id:
        body["request"] = request_id
    body.update(extra or {})
    headers = [("Content-Type", "application/problem+json"), ("X-Run", str(exc.run))]
    if exc.retry_after:
        headers.append(("Retry-After", str(max(1, round(exc.retry_after)))))
    return Response(answer.status, json.dumps(body).encode(), headers)


def _status_line(status):
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _wsgi(handle):
    def app(environ, start_response):
        response = _answer(handle, Request(environ))
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


def _answer(handle, request):
    try:
        return handle(request)
    except RequestError as exc:
        return problem_response(exc)
    except Exception as exc:  # noqa: BLE001  no traceback may reach a caller
        fault = RequestError(ErrorKind.INTERNAL, type(exc).__name__)
        return problem_response(fault)


class _Server(wsgi.Server):
    """cheroot's server without its own words on standard error."""

    def error_log(self, msg="", level=20, traceback=False):
        """Drop cheroot's messages; a broken connection is ordinary."""


class WebServer:
    """One listening address with a worker pool of its own."""

    def __init__(self, address, handle, threads, certificate="", private_key=""):
        self._server = _Server(
            address,
            _wsgi(handle),
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            server_name="lovagepier",
        )
        self._server.gateway = _Gateway
        self._server.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._server.max_request_header_size = MAX_HEADER_BYTES
        if certificate:
            self._server.ssl_adapter = BuiltinSSLAdapter(certificate, private_key)

    def bind(self):
        """Listen; raise OSError if the address is in use."""
        self._server.prepare()

    @property
    def port(self):
        """The port that is listened on."""
        return self._server.bind_addr[1]

    def serve(self):
        """Serve until `stop`; blocks."""
        self._server.serve()

    def stop(self):
        """Stop accepting and end the worker threads."""
        with contextlib.suppress(Exception):
            self._server.stop()
