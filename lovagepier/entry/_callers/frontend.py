"""HTTP endpoints of an entry host: calls, directory, readiness and metrics."""

import asyncio
import math

from lovagepier.decisions.learning.durations import DurationEstimates
from lovagepier.entry._callers.caller_conn import (
    NO_MEMORY_RETRY_AFTER_S,
    BadRequest,
    CallerConnection,
)
from lovagepier.entry._callers.connections import CallerConnections, memory_account
from lovagepier.entry._callers.exchange import Exchange
from lovagepier.entry._callers.explain import EXPLAIN_PATH, Explainer
from lovagepier.entry._callers.gauges import host_gauges
from lovagepier.entry._callers.residence_check import ResidenceCheck
from lovagepier.entry._callers.running_calls import (
    STOPPING_RETRY_AFTER_S,
    RunningCalls,
)
from lovagepier.entry._sockets import ACCEPT_BACKLOG, accept_established
from lovagepier.entry._targets.body_memory import BodyMemory
from lovagepier.entry._targets.checks import TargetChecks
from lovagepier.entry._targets.connector import TargetConnector
from lovagepier.entry._targets.pool import TargetConnectionPool
from lovagepier.entry._targets.tunnel_server import TunnelServer
from lovagepier.entry.catalog import ROUTE_TIERS, CallerLimits
from lovagepier.errors import ErrorKind, error_spec
from lovagepier.logs import component_logger
from lovagepier.metrics import Metrics
from lovagepier.platform import (
    decode_call,
    decode_lookup,
    encode_addresses,
    number_of,
)

__all__ = ["Frontend"]

# In force until a configuration is known.
INITIAL_LIMITS = CallerLimits(16384, 4 << 20, 3.0, 15.0)
# Connections that a listener accepts before other work has its turn.
ACCEPTS_A_TURN = 32
# Callers cache a directory response for this long.
DIRECTORY_TTL_S = 2.0
# Timeout for connecting to a target. The longest network path takes 16 ms; waiting
# for the retransmission of a lost packet costs more than trying another target.
CONNECT_TIMEOUT_S = 0.3
# A stopping host refuses all requests that arrive later than this after the signal:
# callers know of other hosts by then.
REFUSE_AFTER_S = 2.5
# A dispatch in a stop has to end this long before the stop does.
DISPATCH_MARGIN_S = 0.1
# All work ends this long before the platform kills the process.
GRACE_MARGIN_S = 0.5
# Upper bound on the time per output token on current engines, for routes whose calls'
# durations are not known yet.
MAX_TOKEN_S = 0.012
# Retry-After of a host without a configuration.
NO_CONFIG_RETRY_AFTER_S = 0.3
# How long calls wait for the first configuration: a host that has just started gets it
# soon.
CONFIG_WAIT_S = 0.5
# With fewer live hosts in its region, a caller gets the hosts of all regions.
MIN_REGION_HOSTS = 2

_RETRY_AFTER = {
    ErrorKind.CONFIG_UNAVAILABLE: NO_CONFIG_RETRY_AFTER_S,
    ErrorKind.STOPPING: STOPPING_RETRY_AFTER_S,
}

_log = component_logger("callers")


class Frontend:
    """Serves callers' connections and holds what all calls share.

    `stops_at` is None until the host begins its shutdown, then the loop time by which
    all responses have to be complete. `has_catalog` is set once there is a
    configuration.
    """

    def __init__(self, cfg, view, cluster, coordinator):
        self.cfg = cfg
        self.view = view
        self.cluster = cluster
        self.coordinator = coordinator
        self.target_connections = TargetConnectionPool(CONNECT_TIMEOUT_S)
        self.connector = TargetConnector(cfg, view, cluster, self.target_connections)
        self.tunnel_server = TunnelServer(
            view,
            self.target_connections,
            self.connector.is_broken,
            cluster.statements.is_paused,
        )
        self.target_checks = TargetChecks(
            self.connector,
            self.target_connections.put_idle,
            cluster.requests.report_target_down,
        )
        account = memory_account(cfg.host_memory_mb)
        self.body_memory = BodyMemory(
            account.parts.targets if cfg.host_memory_mb else None, account
        )
        self.metrics = Metrics()
        self.residence = ResidenceCheck(cfg, view, self.metrics)
        self.running_calls = RunningCalls()
        self.durations = DurationEstimates()
        self.stops_at = None
        self.has_catalog = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._caller_conns = CallerConnections(
            cfg, account, self.metrics, lambda: self.body_memory.waiting_count > 0
        )
        self._servers = []
        self._explainer = Explainer(self)

    # Connections

    async def listen(self, sockets):
        """Accept connections on the sockets from `open_sockets`."""
        for name, handler in (
            ("callers_listen", self._handle_call),
            ("callers_directory", self._handle_lookup),
            ("callers_ready", self._handle_ready),
            ("metrics_listen", self._handle_metrics),
        ):

            def accept(name=name, handler=handler):
                return self._accept(name, handler)

            server = await self._loop.create_server(
                accept, sock=sockets[name], backlog=ACCEPTS_A_TURN
            )
            sockets[name].listen(ACCEPT_BACKLOG)
            self._servers.append((server, sockets[name], accept))

    def _accept(self, name, handler):
        async def serve(conn):
            await self._serve_requests(conn, handler)

        conn = CallerConnection(serve, self._limits, self._caller_conns, name)
        if not self._caller_conns.add(conn):
            conn.abort()
        return conn

    def _limits(self):
        catalog = self.view.catalog
        return catalog.limits if catalog else INITIAL_LIMITS

    @property
    def open_connections(self):
        """Number of open connections from callers."""
        return len(self._caller_conns)

    @property
    def memory_account(self):
        """The `MemoryAccount` of this process."""
        return self._caller_conns.account

    @property
    def is_serving(self):
        """Whether any request is being served, of this host's callers or another's."""
        if self.tunnel_server.is_serving:
            return True
        return any(conn.serving for conn in self._caller_conns)

    def stop_by(self, stops_at):
        """Refuse calls from now on that could not be completed by `stops_at`.

        Those that run then are ended with a response.
        """
        self.stops_at = stops_at
        self.running_calls.end_by(stops_at)
        self.tunnel_server.is_stopping = True

    def give_back_late(self):
        """Refuse calls that wait and can't begin in time in the stop of this host."""
        self.running_calls.give_back_late(self.latest_start, self._loop.time())

    def close_idle(self, min_idle_s):
        """Close connections: those idle for `min_idle_s`, others after a response."""
        for conn in list(self._caller_conns):
            conn.close_when_idle(min_idle_s)

    async def close(self):
        """Stop listening; accept the connections that are established already."""
        for server, sock, accept in self._servers:
            established = list(accept_established(sock))
            server.close()
            for accepted in established:
                await self._loop.connect_accepted_socket(accept, accepted)

    def reject_unread(self):
        """Respond 503 to requests that have not been read whole."""
        for conn in list(self._caller_conns):
            if conn.serving:
                conn.reject_unread(503)
                conn.close()

    # Used by `Exchange`

    def can_complete(self, call):
        """Return whether a call can be complete before a stop ends, if begun now."""
        return self.latest_start(call) >= self._loop.time()

    def latest_start(self, call):
        """Return the last loop time at which to begin a call, infinite if no stop."""
        if self.stops_at is None:
            return math.inf
        return self.stops_at - self._expected_seconds(call) - DISPATCH_MARGIN_S

    def _expected_seconds(self, call):
        """Return how long a call is expected to last, if it begins at once.

        Without a learnt duration the route's latency objective counts; for a call
        with tokens that is only the time to its first one.
        """
        seconds = self.durations.expect(call.kind, call.size)
        if seconds is not None:
            return seconds
        seconds = call.route.latency_objective_s
        if call.token_counts:
            seconds += call.output_tokens * MAX_TOKEN_S
        return seconds

    def tier_of(self, call):
        """Return the tier of a call, by its account's tier and then its route's."""
        account_tier = call.account.tier if call.account else None
        return (account_tier or 0) * ROUTE_TIERS + min(call.route.tier, ROUTE_TIERS - 1)

    def tokens_per_event(self, target):
        """Return the tokens in one stream event of a target, 1 if unknown."""
        catalog = self.view.catalog
        service = catalog.services.get(target.service) if catalog else None
        return service.tokens_per_event if service else 1

    def send_error(self, conn, request_id, kind, status, retry_after=None, why=""):
        """Send the host's own response; return whether the connection can be reused.

        `retry_after` (seconds) is sent only with status 429 or 503.
        """
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
        return conn.send_response(status, headers, b"")

    # Endpoints

    async def _serve_requests(self, conn, handler):
        """Serve a connection's requests; a handler reads the body if it wants it."""
        conns = self._caller_conns
        while not conn.disconnected:
            try:
                head = await conn.read_head()
                if head is None:
                    return
                conn.serving = True
                conns.mark_busy(conn)
                request, arrived_at = head
                call = decode_call(
                    request.method, request.target, list(request.headers)
                )
                call.arrived_at = arrived_at
                reusable = await handler(conn, call)
                if conn.is_backed_up:
                    await conn.flush()
                conn.serving = False
                if reusable:
                    await conn.finish_request()
            except BadRequest as exc:
                self._reject(conn, exc)
                reusable = False
            finally:
                conn.serving = False
            if not reusable:
                await conn.linger()
                return
            conns.mark_idle(conn)

    def _reject(self, conn, exc):
        """Respond to a request that was not read whole; it has not run."""
        self.metrics.count(f"connections_closed_{exc.reason.replace('-', '_')}")
        _log.info(
            "rejected a malformed request" if exc.status != 503 else "refused a body",
            status=exc.status,
            why=str(exc),
            listener=conn.listener,
        )
        headers = []
        if exc.status == 503:
            headers.append((b"retry-after", b"%.2f" % NO_MEMORY_RETRY_AFTER_S))
        conn.reject_unread(exc.status, headers)

    async def _handle_call(self, conn, call):
        if self.view.catalog is None:
            await self._wait_for_catalog()
        kind = self._check(call)
        if kind is None and conn.has_body:
            conn.tier = self.tier_of(call)
            call.body = await conn.read_body()
            # The configuration may have changed meanwhile.
            kind = self._check(call)
        if kind is not None:
            retry_after = _RETRY_AFTER.get(kind)
            conn.closing = conn.closing or kind == ErrorKind.STOPPING
            status = error_spec(kind).status
            return self.send_error(conn, call.request_id, kind, status, retry_after)
        return await Exchange(self, conn, call).run()

    async def _wait_for_catalog(self):
        try:
            async with asyncio.timeout(CONFIG_WAIT_S):
                await self.has_catalog.wait()
        except TimeoutError:
            _log.info("no configuration yet", as_of=number_of(self.view.as_of))

    def _check(self, call):
        """Set a call's route and account; return an `ErrorKind` if it is refused."""
        catalog = self.view.catalog
        if catalog is None:
            return ErrorKind.CONFIG_UNAVAILABLE
        if not call.request_id:
            return ErrorKind.BAD_REQUEST
        call.route = catalog.find_route(call.host, call.path)
        if call.route is None:
            return ErrorKind.UNKNOWN_ROUTE
        call.account = catalog.account_for_key(call.key)
        if call.account is None and catalog.requires_key and not call.route.public:
            return ErrorKind.UNAUTHENTICATED
        if self._is_too_late(call):
            return ErrorKind.STOPPING
        return None

    def _is_too_late(self, call):
        """Return whether a new call comes too late in the stop of this host."""
        if self.stops_at is None:
            return False
        stopping_since = self.stops_at - self.cfg.shutdown_grace + GRACE_MARGIN_S
        elapsed_s = self._loop.time() - stopping_since
        return elapsed_s >= REFUSE_AFTER_S or not self.can_complete(call)

    async def _handle_lookup(self, conn, call):
        lookup = decode_lookup(call.target)
        if lookup is None:
            return conn.send_response(404, [], b"")
        addresses = self._addresses(*lookup)
        if not addresses:
            return conn.send_response(503, [], b"")
        ttl = min(DIRECTORY_TTL_S, self.cfg.callers_directory_ttl_most)
        body = encode_addresses(addresses, ttl)
        return conn.send_response(200, [(b"content-type", b"application/json")], body)

    def _addresses(self, region, zone):
        """Return addresses of live hosts, only of the caller's region if it has enough.

        A body that is sent to a host in another region may cross regions twice,
        and each crossing is paid for: caller to host and host to target. Where the
        configuration has a residence, see `nameable_hosts`.
        """
        rows = [row[:4] for row in self.cluster.live_hosts() if not row[3]]
        rows = self.residence.nameable_hosts(rows, region, MIN_REGION_HOSTS)
        return [address for _, address, _, _ in rows]

    async def _handle_metrics(self, conn, call):
        if call.path == EXPLAIN_PATH:
            return await self._explainer.answer(conn, call)
        text = self.metrics.text(self.gauges())
        kind = (b"content-type", b"text/plain; version=0.0.4")
        return conn.send_response(200, [kind], text.encode())

    def gauges(self):
        """Return the current values that the metrics listener shows, by name."""
        return host_gauges(self, self._loop.time())

    async def _handle_ready(self, conn, call):
        ready = self.view.catalog is not None and self.stops_at is None
        return conn.send_response(200 if ready else 503, [], b"")
