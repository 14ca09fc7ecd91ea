"""Reads load reports, known request ids and the host list for this node's pools."""

import threading
from concurrent.futures import ThreadPoolExecutor

from lovagepier.backing import StoreError
from lovagepier.logs import component_logger
from lovagepier.node._actors import post
from lovagepier.node._pool_messages import (
    KnownIdsReported,
    LoadReported,
    TargetsDraining,
)
from lovagepier.targets import NotDispatched, TargetBroken, create_adapter

__all__ = ["TargetReader"]

READ_TIMEOUT_S = 0.4
READER_THREADS = 8
HOSTS_PERIOD_S = 1.0


class TargetReader:
    """Polls the targets of the pools coordinated here, from a small thread pool.

    It also keeps one adapter for each target.
    """

    def __init__(self, node):
        self._node = node
        self._adapters = {}
        self._polled_targets = set()
        self._executor = ThreadPoolExecutor(
            READER_THREADS, thread_name_prefix="targets"
        )
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._log = component_logger("targets")
        self._draining = frozenset()

    def adapter(self, target):
        """Return the adapter of a target; a changed address gets a new one."""
        with self._lock:
            adapter = self._adapters.get(target.name)
            if adapter is None or adapter.target.address != target.address:
                adapter = self._adapters[target.name] = create_adapter(target)
            return adapter

    def start(self):
        """Poll in background threads until `stop`."""
        for name, run in (("reports", self._poll_loads), ("hosts", self._poll_hosts)):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self):
        """Ask the threads to end; reads that have not started are dropped."""
        self._stopped.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def fetch_known_ids(self, ref, target):
        """Read a target's known ids and send them to the actor `ref`."""
        self._submit(lambda: self._read_known_ids(ref, target))

    def _submit(self, job):
        if not self._stopped.is_set():
            self._executor.submit(job)

    def _read_known_ids(self, ref, target):
        try:
            ids = self.adapter(target).known_ids(READ_TIMEOUT_S)
        except NotDispatched:
            # The connection is refused: the process and its requests are gone.
            ids = []
        except TargetBroken:
            ids = None
        # A service need not report ids: None would mark its target as silent.
        if target.kind == "service":
            ids = ids or []
        post(ref, KnownIdsReported(target.name, ids))

    def _poll_loads(self):
        while not self._stopped.wait(self._node.cfg.pools_report_period):
            for (subject, region), ref in self._node.pools.refs():
                targets = self._node.view.pools().get((subject, region), [])
                for target in targets:
                    self._submit_load_read(ref, target)

    def _submit_load_read(self, ref, target):
        if target.name in self._polled_targets:
            return
        self._polled_targets.add(target.name)
        self._submit(lambda: self._read_load(ref, target))

    def _read_load(self, ref, target):
        try:
            report = self.adapter(target).load(READ_TIMEOUT_S)
        except (NotDispatched, TargetBroken, ValueError, TypeError):
            report = None
        finally:
            self._polled_targets.discard(target.name)
        post(ref, LoadReported(target.name, report))

    def _poll_hosts(self):
        while not self._stopped.wait(HOSTS_PERIOD_S):
            try:
                records = self._node.host_list.read()
            except StoreError:
                continue
            self._node.note_hosts(records)
            draining = frozenset(r.name for r in records if r.state == "leaving")
            for _, ref in self._node.pools.refs():
                post(ref, TargetsDraining(draining))
