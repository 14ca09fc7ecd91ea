"""What an entry host answers: calls, look-ups, readiness and metrics."""

import asyncio

from lovagepier.entry._caller_conn import BadRequest, CallerConnection
from lovagepier.entry._exchange import Exchange
from lovagepier.entry._target_conn import TargetConnectionPool
from lovagepier.entry.catalog import ROUTE_TIERS, CallerLimits
from lovagepier.errors import ErrorKind, error_spec
from lovagepier.logs import component_logger
from lovagepier.metrics import Metrics
from lovagepier.platform import decode_call, decode_lookup, encode_addresses

__all__ = ["Frontend"]

# Before a configuration is known.
FIRST_LIMITS = CallerLimits(16384, 4 << 20, 3.0, 15.0)
# Callers keep the directory's answer this long.
DIRECTORY_TTL_S = 2.0
# A connection to a target that takes longer is given up: the longest way is
# 16 ms, a lost packet costs more than another target.
CONNECT_S = 0.3
# What comes later than this after the word to stop is refused: it might not end
# before the platform's grace does.
REFUSE_AFTER_S = 2.5
# Before the platform kills what is left.
GRACE_MARGIN_S = 0.5
# A token is made in this time at the most on engines of today; work that needs
# longer than the grace goes to another host.
TOKEN_S = 0.012
# Callers that meet a stopping host come back to another one at once.
STOPPING_RETRY_S = 0.05
# A caller that meets a host without a configuration comes back after this.
NO_CONFIG_RETRY_S = 0.3
# A host that has just started has its configuration soon: callers wait this long
# for it before they are sent away.
NO_CONFIG_WAIT_S = 0.5
# With fewer live hosts in its region a caller gets those of all regions.
LEAST_NEAR_HOSTS = 2

_RETRY_AFTER = {
    ErrorKind.CONFIG_UNAVAILABLE: NO_CONFIG_RETRY_S,
    ErrorKind.STOPPING: STOPPING_RETRY_S,
}

_log = component_logger("callers")


class Frontend:
    """Serves callers' connections; `stops_at` is set once the host is to stop.

    That is the loop time by which all answers have to be whole.
    """

    def __init__(self, cfg, view, cluster, coordinator):
        self.cfg = cfg
        self.view = view
        self.cluster = cluster
        self.coordinator = coordinator
        self.connections = TargetConnectionPool(CONNECT_S)
        self.metrics = Metrics()
        self.stops_at = None
        self.has_catalog = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._callers = set()
        self._servers = []

    # Connections

    async def listen(self, sockets):
        """Accept on the listening sockets of `open_sockets`."""
        for name, answer in (
            ("callers_listen", self._answer_call),
            ("callers_directory", self._answer_lookup),
            ("callers_ready", self._answer_ready),
            ("metrics_listen", self._answer_metrics),
        ):
            server = await self._loop.create_server(
                lambda answer=answer: self._accept(answer), sock=sockets[name]
            )
            self._servers.append(server)

    def _accept(self, answer):
        async def serve(conn):
            await self._serve_requests(conn, answer)

        conn = CallerConnection(serve, self._limits, self._callers.discard)
        self._callers.add(conn)
        return conn

    def _limits(self):
        catalog = self.view.catalog
        return catalog.limits if catalog else FIRST_LIMITS

    @property
    def open(self):
        """How many connections are open."""
        return len(self._callers)

    @property
    def busy(self):
        """Whether any request is being served."""
        return any(conn.serving for conn in self._callers)

    def stop_by(self, stops_at):
        """Take nothing on that could not be answered by `stops_at`."""
        self.stops_at = stops_at

    def close_idle(self):
        """End connections that are between two requests, others after theirs."""
        for conn in list(self._callers):
            conn.wake_idle()

    def close(self):
        """Accept nobody any more."""
        for server in self._servers:
            server.close()

    # What the exchange needs to know

    def tier_of(self, call):
        """Return the tier of a call: its account's rank, then its route's."""
        rank = call.account.tier if call.account else None
        return (rank or 0) * ROUTE_TIERS + min(call.route.tier, ROUTE_TIERS - 1)

    def event_tokens(self, target):
        """Return the tokens that one stream event of a target stands for."""
        catalog = self.view.catalog
        service = catalog.services.get(target.service) if catalog else None
        return service.event_tokens if service else 1

    def refuse(self, conn, request_id, kind, status, retry_after=None, why=""):
        """Send an answer of our own; return whether the connection goes on."""
        self.metrics.count(f"answered_{kind.replace('-', '_')}")
        headers = [(b"x-request-id", request_id.encode("latin-1"))]
        if retry_after is not None and status in (429, 503):
            headers.append((b"retry-after", f"{retry_after:.2f}".encode()))
        _log.info(
            "answered without a target's answer",
            request=request_id,
            kind=kind,
            status=status,
            retry_after=retry_after,
            why=why,
            version=self.view.version,
        )
        return conn.send_whole(status, headers, b"")

    # Callers

    async def _serve_requests(self, conn, answer):
        while not conn.gone:
            try:
                head = await conn.read_head()
                if head is None:
                    return
                conn.serving = True
                request, arrived = head
                call = decode_call(
                    request.method, request.target, list(request.headers)
                )
                call.arrived = arrived
                call.body = await conn.read_body()
                goes_on = await answer(conn, call)
            except BadRequest as exc:
                _log.info("refused what can't be read", status=exc.status, why=str(exc))
                conn.refuse_unread(exc.status)
                return
            finally:
                conn.serving = False
            if not goes_on:
                return

    async def _answer_call(self, conn, call):
        if self.view.catalog is None:
            await self._wait_for_catalog()
        kind = self._check(call)
        if kind is not None:
            retry = _RETRY_AFTER.get(kind)
            conn.closing = conn.closing or kind == ErrorKind.STOPPING
            status = error_spec(kind).status
            return self.refuse(conn, call.request_id, kind, status, retry)
        return await Exchange(self, conn, call).run()

    async def _wait_for_catalog(self):
        try:
            async with asyncio.timeout(NO_CONFIG_WAIT_S):
                await self.has_catalog.wait()
        except TimeoutError:
            _log.info("no configuration yet", as_of=self.view.as_of)

    def _check(self, call):
        """Fill in a call's route and account; return the `ErrorKind` if refused."""
        catalog = self.view.catalog
        if catalog is None:
            return ErrorKind.CONFIG_UNAVAILABLE
        if not call.request_id:
            return ErrorKind.BAD_REQUEST
        call.route = catalog.route_of(call.host, call.path)
        if call.route is None:
            return ErrorKind.UNKNOWN_ROUTE
        call.account = catalog.account_of(call.key)
        if call.account is None and catalog.needs_key and not call.route.public:
            return ErrorKind.UNAUTHENTICATED
        if self.stops_at is not None and not self._can_end(call):
            return ErrorKind.STOPPING
        return None

    def _can_end(self, call):
        """Return whether a stopping host can still see a new request through."""
        left = self.stops_at - self._loop.time()
        taken_for = self.cfg.shutdown_grace - GRACE_MARGIN_S - left
        return taken_for < REFUSE_AFTER_S and call.tokens_out * TOKEN_S < left

    async def _answer_lookup(self, conn, call):
        lookup = decode_lookup(call.target)
        if lookup is None:
            return conn.send_whole(404, [], b"")
        addresses = self._addresses(*lookup)
        if not addresses:
            return conn.send_whole(503, [], b"")
        ttl = min(DIRECTORY_TTL_S, self.cfg.callers_directory_ttl_most)
        body = encode_addresses(addresses, ttl)
        return conn.send_whole(200, [(b"content-type", b"application/json")], body)

    def _addresses(self, region, zone):
        """Return the live hosts' addresses, of the caller's region if it has some.

        Bodies that cross between regions are paid for twice: callers to
        hosts, and hosts to targets.
        """
        rows = [row for row in self.cluster.live_hosts() if not row[3]]
        near = [row for row in rows if self.cfg.zones.get(row[2].lower()) == region]
        if len(near) >= LEAST_NEAR_HOSTS:
            rows = near
        return [address for _, address, _, _ in rows]

    async def _answer_metrics(self, conn, call):
        text = self.metrics.text(self._gauges())
        kind = (b"content-type", b"text/plain; version=0.0.4")
        return conn.send_whole(200, [kind], text.encode())

    def _gauges(self):
        now = self._loop.time()
        return {
            "config_version": self.view.version,
            "store_revision": self.view.as_of,
            "store_age_seconds": round(self.view.store_age(now), 3),
            "targets": len(self.view.targets),
            "hosts": len(self.view.members()),
            "callers_open": len(self._callers),
            "waiting": self.coordinator.waiting(),
            "is_home": int(self.cluster.current == self.cfg.host_name),
            "target_connections_opened": self.connections.opened,
        }

    async def _answer_ready(self, conn, call):
        ready = self.view.catalog is not None and self.stops_at is None
        return conn.send_whole(200 if ready else 503, [], b"")
