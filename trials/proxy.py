"""A loopback proxy on the event loop that delays, silences, resets or refuses."""

import asyncio
import contextlib

__all__ = ["Proxy"]

CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections from its own port to `target_port`.

    `delay_s` is added to each chunk. While `is_refusing`, new connections are reset.
    Bytes to the target or from it wait while that direction is silent.
    """

    def __init__(self):
        self.port = None
        self.target_port = None
        self.delay_s = 0.0
        self.is_refusing = False
        self._flows = {"to": asyncio.Event(), "from": asyncio.Event()}
        self._writers = set()
        self._tasks = set()
        self._server = None
        self.restore()

    async def start(self, target_port):
        """Listen on a port of its own; return the proxy."""
        self.target_port = target_port
        self._server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def restore(self):
        """End all faults; connections that were reset stay so."""
        self.delay_s = 0.0
        self.is_refusing = False
        for flow in self._flows.values():
            flow.set()

    def silence(self, *directions):
        """Delay all bytes in the given directions: "to" and "from" the target."""
        for direction in directions:
            self._flows[direction].clear()

    def reset(self):
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self):
        """Close the port and all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def accept(self, reader, writer):
        """Forward one connection until it ends."""
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        upstream = None
        try:
            if self.is_refusing:
                return
            target_reader, upstream = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
            self._writers.add(upstream)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, upstream, "to"))
                group.create_task(self._pump(target_reader, writer, "from"))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, upstream):
                if each is not None:
                    self._writers.discard(each)
                    with contextlib.suppress(OSError):
                        each.transport.abort()
            self._tasks.discard(asyncio.current_task())

    async def _pump(self, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            await self._flows[direction].wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if direction == "to":
            # The caller is gone; the target must see its connection close.
            writer.transport.abort()
        else:
            await writer.drain()
            writer.close()
