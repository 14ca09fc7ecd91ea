"""A TCP relay that a trial can cut, to simulate a network partition."""

import contextlib
import selectors
import socket
import threading

from trials.ports import free_port

__all__ = ["Relay"]

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections from its own port to `target_port` until it is cut."""

    def __init__(self, target_port):
        self._target = ("127.0.0.1", target_port)
        self._pairs = set()
        self._lock = threading.Lock()
        self._is_cut = False
        self.port = free_port()
        self._listener = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            if self._is_cut:
                conn.close()
                continue
            threading.Thread(target=self._forward, args=(conn,), daemon=True).start()

    def _forward(self, client):
        try:
            upstream = socket.create_connection(self._target, 1.0)
        except OSError:
            client.close()
            return
        pair = (client, upstream)
        with self._lock:
            self._pairs.add(pair)
        selector = selectors.DefaultSelector()
        selector.register(client, selectors.EVENT_READ, upstream)
        selector.register(upstream, selectors.EVENT_READ, client)
        with contextlib.suppress(OSError, ValueError):
            while True:
                for key, _ in selector.select(1.0):
                    data = key.fileobj.recv(CHUNK_BYTES)
                    if not data:
                        raise OSError
                    key.data.sendall(data)
        self._close(pair)

    def _close(self, pair):
        with self._lock:
            self._pairs.discard(pair)
        for sock in pair:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def cut(self):
        """Close all connections, and each new one as it arrives."""
        self._is_cut = True
        for pair in list(self._pairs):
            self._close(pair)

    def restore(self):
        """Forward new connections again."""
        self._is_cut = False

    def close(self):
        """Close the relay and its port."""
        self.cut()
        self._listener.close()
