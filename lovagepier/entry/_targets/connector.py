"""Connects this host to targets, through other hosts where its own path is broken."""

import asyncio

from lovagepier.decisions.placement.paths import Peer, TargetPaths
from lovagepier.decisions.placement.residence import region_finder
from lovagepier.entry._targets.comparison import TargetComparison
from lovagepier.entry._targets.pool import ConnectFailed
from lovagepier.entry._targets.tunnels import HostUnreachable, Tunnels
from lovagepier.entry._zones import make_zone_cost
from lovagepier.logs import component_logger

__all__ = ["TargetConnector"]

# If the target has not answered after this time, another host is asked as well. A
# round trip between regions takes 16 ms.
HEDGE_DELAY_S = 0.06
# Hosts that are asked for one connection.
MAX_ASKED_PEERS = 3
RETRY_POLL_S = 0.1

_log = component_logger("targets")


def _has_opened(task):
    return task.done() and not task.cancelled() and task.exception() is None


class TargetConnector:
    """Opens connections to targets and knows which paths of this host are broken.

    `connections` is the host's `TargetConnectionPool`.
    """

    def __init__(self, cfg, view, cluster, connections):
        self._cfg = cfg
        self._view = view
        self._cluster = cluster
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._region_of = region_finder(cfg)
        self._paths = TargetPaths(cfg.host_name, cfg.host_zone, make_zone_cost(cfg))
        self._comparison = TargetComparison(view, connections, self._paths.is_broken)
        self._tunnels = Tunnels(
            cfg.host_name, self._find_address, self._find_format, cluster.link_counts
        )
        self._retrying = {}

    def is_broken(self, incarnation):
        """Return whether this host has lost its own path to a target."""
        return self._paths.is_broken(incarnation)

    def take_idle(self, target, request_id):
        """Return a usable idle connection to a target, or None.

        None is returned, too, if all have carried `request_id` before.
        """
        if self._paths.is_broken(target.incarnation):
            return None
        return self._connections.take_idle(target, request_id)

    async def open(self, target, regions=()):
        """Return a new connection to `target`; raise `ConnectFailed`.

        If this host can't connect, another one is asked: it connects, or tells whether
        the fault is the target's. If none can tell, it is the target's as long as this
        host reaches others of the service. Only hosts in `regions` are asked, all if
        there are none.
        """
        if self._paths.is_broken(target.incarnation):
            return await self._open_tunnel(target, regions)
        tasks = [self._loop.create_task(self._connections.open(target))]
        try:
            await asyncio.wait(tasks, timeout=HEDGE_DELAY_S)
            if not _has_opened(tasks[0]) and self._has_peers():
                tasks.append(self._loop.create_task(self._open_tunnel(target, regions)))
            await self._wait_for_any(tasks)
        except BaseException:
            for task in tasks:
                _discard(task)
            raise
        try:
            return self._settle(target, *tasks)
        except ConnectFailed as exc:
            if not exc.is_unsure or not tasks[0].exception().refused:
                raise
            alike, _ = await self._comparison.reaches_others(target)
            raise ConnectFailed(str(exc), refused=alike, is_unsure=not alike)

    def tell(self, host, message):
        """Tell a host that a connection goes through what its target said."""
        self._tunnels.tell(host, message)

    async def _wait_for_any(self, tasks):
        """Wait until one task has opened a connection or all have failed."""
        waiting = set(tasks)
        while waiting and not any(map(_has_opened, tasks)):
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )

    def _settle(self, target, direct, tunnel=None):
        """Return the connection that was opened, the direct one if both were."""
        if _has_opened(direct):
            if tunnel is not None:
                _discard(tunnel)
            return direct.result()
        if tunnel is None:
            raise direct.exception()
        if _has_opened(tunnel):
            direct.add_done_callback(lambda task: self._on_late_direct(target, task))
            return tunnel.result()
        refusal = tunnel.exception()
        raise ConnectFailed(
            f"{direct.exception()}; {refusal}", refusal.refused, refusal.is_unsure
        )

    def _on_late_direct(self, target, task):
        """Learn from a direct connection that was slower than a tunnel, or failed."""
        if _has_opened(task):
            self._connections.put_idle(target, task.result())
        elif not task.cancelled():
            self._on_broken(target, str(task.exception()))

    def _on_broken(self, target, why):
        if self._paths.on_broken(target.incarnation, self._loop.time()):
            _log.warning("lost the path to a target", target=target.id, why=why)
            self._connections.close_idle(target)
            self._update_cut_off()

    def _update_cut_off(self):
        count = len(self._view.targets)
        self._cluster.set_cut_off(self._paths.is_cut_off(count))

    # Tunnels

    async def _open_tunnel(self, target, regions):
        """Return a connection through another host; raise `ConnectFailed`.

        Hosts are asked in turn until one has connected or is sure that it is the
        target's fault. If all that were asked take it for the target's, it is, too.
        """
        incarnation = target.incarnation
        ranked = self._paths.rank_peers(
            self._peers(), target.zone, incarnation, self._loop.time(), regions
        )
        failures = []
        if regions and not ranked:
            _log.info(
                "no host in the allowed regions can connect to a target",
                target=target.id,
                allowed=regions,
            )
        for name in ranked[:MAX_ASKED_PEERS]:
            try:
                return await self._tunnels.open(name, target)
            except HostUnreachable as exc:
                _log.info("could not ask a host for a tunnel", host=name, why=str(exc))
                self._paths.on_peer_failed(name, incarnation, self._loop.time())
            except ConnectFailed as exc:
                _log_failed_tunnel(target, name, exc)
                if not exc.is_unsure and not exc.needs_others:
                    raise
                if exc.is_unsure:
                    self._paths.on_peer_failed(name, incarnation, self._loop.time())
                failures.append(exc)
        if failures and all(exc.needs_others for exc in failures):
            refused = all(exc.refused for exc in failures)
            raise ConnectFailed("no host connects", refused)
        raise ConnectFailed("no host can tell", is_unsure=True)

    def _has_peers(self):
        return bool(self._peers())

    def _peers(self):
        """Return the live hosts; without any, those that are registered."""
        own = self._cfg.host_name
        members = self._view.members()
        rows = [row for row in self._cluster.live_hosts() if not row[3]]
        # A coordinator of an earlier version sends rows without the last column.
        live = [
            Peer(row[0], row[2], row[4:5] == [True], self._region_of(row[2]))
            for row in rows
            if row[0] != own and row[0] in members
        ]
        return live or [Peer(n, self._cfg.host_zone) for n in members if n != own]

    def _find_address(self, name):
        host = self._view.members().get(name)
        return host.link_address if host is not None else None

    def _find_format(self, name):
        """Return the format of a host as its coordinator knows it, 0 if it doesn't."""
        rows = (row for row in self._cluster.live_hosts() if row[0] == name)
        return next((row[5] for row in rows if len(row) > 5), 0)

    # Broken paths

    async def run(self):
        """Try broken paths again and close unused tunnels, forever."""
        while True:
            await asyncio.sleep(RETRY_POLL_S)
            try:
                self._maintain()
            except Exception as exc:  # noqa: BLE001  the next round must come
                _log.error("maintenance of paths failed", exc_info=exc)

    def _maintain(self):
        if self._paths.has_broken():
            self._retry_paths()
        if self._tunnels.has_links():
            live = {row[0] for row in self._cluster.live_hosts()}
            self._tunnels.close_unused(live | {peer.name for peer in self._peers()})

    def _retry_paths(self):
        targets = {t.incarnation: t for t in self._view.targets.values()}
        self._paths.keep(targets)
        self._update_cut_off()
        for key in self._paths.due(self._loop.time()):
            if key not in self._retrying:
                task = self._loop.create_task(self._retry(targets[key]))
                self._retrying[key] = task

    async def _retry(self, target):
        try:
            conn = await self._connections.open(target)
        except ConnectFailed:
            self._paths.on_retry_failed(target.incarnation, self._loop.time())
        else:
            self._connections.put_idle(target, conn)
            if self._paths.on_reached(target.incarnation):
                _log.info("the path to a target is back", target=target.id)
                self._update_cut_off()
        finally:
            del self._retrying[target.incarnation]


def _log_failed_tunnel(target, host, exc):
    _log.info(
        "no connection through another host",
        target=target.id,
        host=host,
        why=str(exc),
        refused=exc.refused,
        unsure=exc.is_unsure,
        needs_others=exc.needs_others,
    )


def _discard(task):
    """Cancel a task that opens a connection, or close what it has opened."""
    if not task.done():
        task.cancel()
    task.add_done_callback(_close_opened)


def _close_opened(task):
    if _has_opened(task):
        task.result().close()
