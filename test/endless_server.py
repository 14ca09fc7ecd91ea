"""A server whose responses do not end."""

import contextlib
import socket
import threading
import time

CHUNK = b"8000\r\n" + b"a" * 0x8000 + b"\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
# What is sent first, what again and again, and the pause after each.
FORMS = {
    "chunks": (CHUNKED, CHUNK, 0.0),
    "unframed": (UNFRAMED, b"a" * 0x8000, 0.0),
    "blank JSON": (UNFRAMED, b" " * 0x8000, 0.0),
    "drip": (UNFRAMED, b" ", 0.05),
    "dripping chunks": (CHUNKED, b"1\r\n \r\n", 0.05),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: of it\r\n" * 64, 0.0),
    "long line": (b"HTTP/1.1 200 OK\r\nX-More: ", b"a" * 4096, 0.0),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64, 0.0),
}


class EndlessServer:
    """Answers each connection in a form of `FORMS`; `sent` counts the bytes taken.

    It stops by itself after `seconds`, so that a reader without a bound ends, too.
    """

    def __init__(self, form, seconds=6.0):
        self._first, self._unit, self._pause_s = FORMS[form]
        self._seconds = seconds
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.sent = 0
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                threading.Thread(target=self._send, args=(conn,), daemon=True).start()

    def _send(self, conn):
        until = time.monotonic() + self._seconds
        with contextlib.suppress(OSError), conn:
            conn.recv(65536)
            conn.sendall(self._first)
            while time.monotonic() < until:
                conn.sendall(self._unit)
                self.sent += len(self._unit)
                time.sleep(self._pause_s)

    def close(self):
        self._listener.close()
