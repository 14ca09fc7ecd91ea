"""An error in answer to a resumption is no part of the interrupted answer."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from types import SimpleNamespace

import pytest

from lovagepier.targets import TargetBroken, UnknownRequestId, create_adapter


class _Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        body = b'{"error": {"message": "no"}}'
        self.send_response(self.server.status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


@pytest.fixture
def target():
    server = HTTPServer(("127.0.0.1", 0), _Handler)
    server.status = 200
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"http://127.0.0.1:{server.server_port}"
    yield server, SimpleNamespace(name="e0", address=address, adapter="openai")
    server.shutdown()
    server.server_close()


@pytest.mark.parametrize("status", [400, 429, 499, 500, 503])
def test_an_error_at_the_resumption_is_not_a_part_of_the_answer(target, status):
    server, settings = target
    server.status = status
    with pytest.raises(TargetBroken):
        create_adapter(settings).resume("r1", 10, 2.0)


def test_an_unknown_id_is_told_apart(target):
    server, settings = target
    server.status = 404
    with pytest.raises(UnknownRequestId):
        create_adapter(settings).resume("r1", 10, 2.0)


def test_a_resumed_answer_is_passed_on(target):
    _, settings = target
    stream = create_adapter(settings).resume("r1", 10, 2.0)
    assert b"".join(stream.chunks).startswith(b'{"error"')
