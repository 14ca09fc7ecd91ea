"""A TCP relay that a trial can cut, to part processes from each other."""

import contextlib
import selectors
import socket
import threading

from trials.ports import free_port

__all__ = ["Relay"]

CHUNK = 65536


class Relay:
    """Passes bytes from its own port to `target`; `cut` drops all of them."""

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
            threading.Thread(target=self._pump, args=(conn,), daemon=True).start()

    def _pump(self, near):
        try:
            far = socket.create_connection(self._target, 1.0)
        except OSError:
            near.close()
            return
        pair = (near, far)
        with self._lock:
            self._pairs.add(pair)
        selector = selectors.DefaultSelector()
        selector.register(near, selectors.EVENT_READ, far)
        selector.register(far, selectors.EVENT_READ, near)
        with contextlib.suppress(OSError, ValueError):
            while True:
                for key, _ in selector.select(1.0):
                    data = key.fileobj.recv(CHUNK)
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
        """Drop all connections and refuse new ones."""
        self._is_cut = True
        for pair in list(self._pairs):
            self._close(pair)

    def restore(self):
        """Pass bytes again."""
        self._is_cut = False

    def close(self):
        """End the relay."""
        self.cut()
        self._listener.close()
