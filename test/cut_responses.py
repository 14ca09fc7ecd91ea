"""A server that closes inside its responses, and every HTTP client of the program.

Each row of `CLIENTS` makes one call at a URL and returns what it takes the answer for:
`LOST`, or (status, body) or a similar value for an answer that it accepts.
"""

import contextlib
import socket
import struct
import threading
import time
from types import SimpleNamespace

from lovagepier.backing import StoreError
from lovagepier.backing._etcd import EtcdStore
from lovagepier.backing._hosts import HostList
from lovagepier.backing._port import Put
from lovagepier.backing._weights import WeightStore
from lovagepier.client import Caller, _caller
from lovagepier.commands._client import OperatorClient
from lovagepier.errors import ErrorKind, RequestError, UserError, error_spec
from lovagepier.node import Relay, TargetRequest, _relay
from lovagepier.platform import PlatformStore
from lovagepier.targets import NotDispatched, TargetBroken, UnknownRequestId
from lovagepier.targets._http import HttpAdapter
from lovagepier.targets._openai import OpenAiAdapter

LOST = "lost, may have run"
LAST_CHUNK = b"0\r\n\r\n"
_RESET = struct.pack("ii", 1, 0)
_NOT_RUN = "not run"
_UNKNOWN_ID = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class CuttingServer:
    """Answers each request with `response` and closes; `ends` is "close" or "reset".

    The next request is answered with `once` instead, unless that is None.
    """

    def __init__(self):
        self.response = b""
        self.once = None
        self.ends = "close"
        self._server = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.url = f"http://127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                conn, _ = self._server.accept()
            except OSError:
                return
            with conn, contextlib.suppress(OSError, IndexError):
                conn.settimeout(5)
                self._serve(conn)

    def _serve(self, conn):
        data = b""
        while b"\r\n\r\n" not in data:
            data += conn.recv(65536) or b"\r\n\r\n"
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        while len(body) < length:
            body += conn.recv(65536)
        conn.sendall(self._answer(head.split()[1]))
        if self.ends == "reset":
            # Lets the client read the bytes: a reset discards what it has not read.
            time.sleep(0.0005)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)

    def _answer(self, path):
        # The rest of a stream that has begun is not known.
        if path.startswith(b"/v1/streams/") and not path.endswith(b"offset=0"):
            return _UNKNOWN_ID
        answer, self.once = self.once, None
        return self.response if answer is None else answer

    def close(self):
        """Accept no more connections."""
        self._server.close()


def framed(body, framing, status=b"200 OK", fields=b""):
    """Return (head, body) of a response; see `FRAMINGS`."""
    version, kind = framing.split()
    frame = {
        "length": b"Content-Length: %d\r\n" % len(body),
        "chunks": b"Transfer-Encoding: chunked\r\n",
        "none": b"",
    }[kind]
    head = b"HTTP/%s %s\r\n%s%s\r\n" % (version.encode(), status, fields, frame)
    if kind == "chunks":
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        # Leading zeros are legal: "0" alone may be the beginning of any size.
        body = b"".join(b"%03x\r\n%s\r\n" % (len(part), part) for part in parts)
        body += LAST_CHUNK
    return head, body


FRAMINGS = ("1.1 length", "1.1 chunks", "1.1 none", "1.0 length", "1.0 none")


def _request(streamed=False):
    return TargetRequest("POST", "/v1/chat/completions", b"{}", {}, streamed)


def _target(url):
    return SimpleNamespace(name="t1", address=url)


def _adapter_call(url, adapter=HttpAdapter):
    try:
        stream = adapter(_target(url)).dispatch(_request(), 5)
        return stream.status, b"".join(stream.chunks)
    except NotDispatched:
        return _NOT_RUN
    except TargetBroken:
        return LOST


def _node():
    nothing = SimpleNamespace(
        add=lambda *args, **kwargs: None,
        finish=lambda *args: None,
        record_finished=lambda *args: None,
        report_first_byte=lambda *args: None,
    )
    return SimpleNamespace(
        clock=time.time, permits=nothing, metrics=nothing, timeline=nothing
    )


def _relay_to(url, adapter, streamed):
    work = SimpleNamespace(id="blue.r1", deadline=time.time() + 5)
    in_flight = SimpleNamespace(work=work, target="t1", version="v1")
    return Relay(_node(), in_flight, adapter(_target(url)), _request(streamed))


def relayed_bytes(url):
    """Return what a caller gets of a stream, whether it ends as complete or not."""
    made = _relay_to(url, OpenAiAdapter, True)
    data = b""
    with contextlib.suppress(RequestError):
        data = made.dispatch()
        for chunk in made.remaining_chunks():
            data += chunk
    return data


def _relay_call(url, adapter, streamed):
    made = _relay_to(url, adapter, streamed)
    try:
        first = made.dispatch()
        if not streamed:
            return made.status, made.read_whole(first)
        return made.status, first + b"".join(made.remaining_chunks())
    except NotDispatched:
        return _NOT_RUN
    except RequestError as exc:
        if exc.kind in (ErrorKind.ANSWER_LOST, ErrorKind.TARGET_FAILED):
            return LOST
        return error_spec(exc.kind).run


def _resume_call(url):
    try:
        stream = OpenAiAdapter(_target(url)).resume("blue.r1", 0, 5)
        return stream.status, b"".join(stream.chunks)
    except UnknownRequestId:
        return "unknown id"
    except TargetBroken:
        return LOST


def _report_call(read):
    def call(url):
        try:
            return read(OpenAiAdapter(_target(url)))
        except NotDispatched:
            return _NOT_RUN
        except TargetBroken:
            return LOST

    return call


def _settings(url):
    return SimpleNamespace(
        platform_store=url,
        platform_hosts=url,
        platform_weights=url,
        platform_timeout=5.0,
        platform_calls_per_second=1e6,
    )


def _backing_call(make, read):
    def call(url):
        try:
            return read(make(_settings(url)))
        except StoreError:
            return LOST

    return call


def _platform_call(read):
    def call(url):
        host, port = url.removeprefix("http://").split(":")
        result = read(PlatformStore((host, int(port))))
        if result.is_ok():
            return result.ok_value
        fault = result.err_value
        if (fault.status, fault.executed, fault.is_unreadable) == (0, "maybe", False):
            return LOST
        return fault.status, fault.executed, fault.is_unreadable

    return call


def _caller_call(send):
    def call(url):
        reply = send(Caller([url], "key", pinned=True))
        if reply.is_complete:
            return reply.status, reply.body
        return LOST if reply.run != "no" else _NOT_RUN

    return call


def _entries_call(url):
    caller = Caller([url], "key")
    try:
        return caller.entries()
    except _caller.CallerError:
        return LOST


def _operator_call(url):
    client = OperatorClient(SimpleNamespace(node=url, key="key"))
    try:
        return client.call("GET", "/v1/status")
    except UserError as exc:
        return LOST if "did not answer" in str(exc) else str(exc)


EVENTS = b"data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
_ETCD_KEY = b'{"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7"}]}'
_ETCD_EVENT = b'{"result":{"events":[{"kv":{"key":"YQ==","mod_revision":"7"}}]}}\n'
_HOSTS = b'{"hosts":[{"name":"h1","state":"live"}]}'
_WEIGHTS = b'{"bytes_per_second":5,"weights":[]}'
_PAGE = b'{"items":[],"as_of":7}'
_SSE = b"Content-Type: text/event-stream\r\n"
_ENTRIES = b'{"ttl_seconds":9,"entries":[{"address":"http://h1"}]}'
# name: (fields of the head, body, call)
CLIENTS = {
    "http target": (b"", b'{"ok":1}', _adapter_call),
    "openai target": (b"", b'{"ok":1}', lambda url: _adapter_call(url, OpenAiAdapter)),
    "relay of a service": (
        b"",
        b'{"ok":1}',
        lambda url: _relay_call(url, HttpAdapter, False),
    ),
    "relay of an answer": (
        b"",
        b'{"ok":1}',
        lambda url: _relay_call(url, OpenAiAdapter, False),
    ),
    "relay of a stream": (
        _SSE,
        EVENTS,
        lambda url: _relay_call(url, OpenAiAdapter, True),
    ),
    "resume": (_SSE, EVENTS, _resume_call),
    "load report": (
        b"",
        b'{"running":1,"waiting":2}',
        _report_call(lambda adapter: adapter.load(5).waiting),
    ),
    "known ids": (
        b"",
        b'{"ids":["r1"]}',
        _report_call(lambda adapter: adapter.known_ids(5)),
    ),
    "order": (
        b"",
        b"{}",
        lambda url: OpenAiAdapter(_target(url)).order({}, 1, 5) or LOST,
    ),
    "etcd get": (
        b"",
        _ETCD_KEY,
        _backing_call(EtcdStore, lambda store: store.get("a")),
    ),
    "etcd range": (
        b"",
        _ETCD_KEY,
        _backing_call(EtcdStore, lambda store: store.range("a")),
    ),
    "etcd txn": (
        b"",
        b'{"header":{"revision":"8"},"succeeded":true}',
        _backing_call(EtcdStore, lambda store: store.txn([], [Put("a", b"b")])),
    ),
    "etcd lease": (
        b"",
        b'{"ID":"12"}',
        _backing_call(EtcdStore, lambda store: store.lease_grant(5)),
    ),
    "etcd keepalive": (
        b"",
        b'{"result":{"TTL":"12"}}',
        _backing_call(EtcdStore, lambda store: store.lease_keepalive(5)),
    ),
    "etcd revoke": (
        b"",
        b"{}",
        _backing_call(EtcdStore, lambda store: store.lease_revoke(5) is None),
    ),
    "etcd watch": (
        b"",
        _ETCD_EVENT,
        _backing_call(EtcdStore, lambda store: store.watch("a", 1, 5)),
    ),
    "host list": (b"", _HOSTS, _backing_call(HostList, lambda hosts: hosts.read())),
    "weights": (b"", _WEIGHTS, _backing_call(WeightStore, lambda store: store.read())),
    "platform scan": (b"", _PAGE, _platform_call(lambda store: store.scan("a"))),
    "platform watch": (
        b"",
        b'{"events":[],"as_of":7}',
        _platform_call(lambda store: store.watch("a", 1, 5)),
    ),
    "platform put": (
        b"",
        b'{"revision":7}',
        _platform_call(lambda store: store.put("a", b"b")),
    ),
    "platform lease": (
        b"",
        b'{"lease":7,"ttl_ms":500}',
        _platform_call(lambda store: store.grant_lease(5)),
    ),
    "platform renewal": (
        b"",
        b"{}",
        _platform_call(lambda store: store.renew_lease(5)),
    ),
    "caller, service": (
        b"X-Run: yes\r\n",
        b'{"ok":1}',
        _caller_call(lambda caller: caller.record("POST", "/s", b"b", "k")),
    ),
    "caller, answer": (
        b"X-Run: yes\r\n",
        b'{"ok":1}',
        _caller_call(lambda caller: caller.complete({"model": "m"})),
    ),
    "caller, stream": (
        _SSE,
        EVENTS,
        _caller_call(lambda caller: caller.complete({"stream": True})),
    ),
    "caller, entries": (b"", _ENTRIES, _entries_call),
    "operators": (b"", b'{"nodes":[]}', _operator_call),
}


def without_pauses(monkeypatch):
    """Let clients repeat a lost call once, at once."""
    monkeypatch.setattr(_relay, "RESUME_PAUSE_S", 0.0)
    monkeypatch.setattr(_relay, "MAX_RESUMES", 1)
    monkeypatch.setattr(_caller, "RETRY_BACKOFF_S", 0.0)
    monkeypatch.setattr(_caller, "MAX_ATTEMPTS", 2)
