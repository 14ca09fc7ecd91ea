"""Reads load reports, known ids and the host list for the pools homed here."""

import threading
from concurrent.futures import ThreadPoolExecutor

from lovagepier.backing import StoreError
from lovagepier.logs import part_log
from lovagepier.node._actors import post
from lovagepier.node._pool_messages import KnownIds, Reported, TargetsLeaving
from lovagepier.targets import NotDispatched, TargetBroken, create_adapter

__all__ = ["TargetReader"]

READ_TIMEOUT_S = 0.4
READERS = 8
HOSTS_PERIOD_S = 1.0


class TargetReader:
    """Polls targets from a small thread pool; adapters are kept by target."""

    def __init__(self, node):
        self._node = node
        self._adapters = {}
        self._busy = set()
        self._readers = ThreadPoolExecutor(READERS, thread_name_prefix="targets")
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._log = part_log("targets")
        self._leaving = frozenset()

    def adapter(self, target):
        """Return the adapter of a target; a changed target gets a new one."""
        with self._lock:
            held = self._adapters.get(target.name)
            if held is None or held.target.address != target.address:
                held = self._adapters[target.name] = create_adapter(target)
            return held

    def start(self):
        """Poll until `stop`."""
        for name, run in (("reports", self._reports), ("hosts", self._hosts)):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self):
        """End soon."""
        self._stopped.set()
        self._readers.shutdown(wait=False, cancel_futures=True)

    def fetch_known_ids(self, ref, target):
        """Ask a target which ids it was given; the actor is told."""
        self._submit(lambda: self._known_ids(ref, target))

    def _submit(self, job):
        if not self._stopped.is_set():
            self._readers.submit(job)

    def _known_ids(self, ref, target):
        try:
            ids = self.adapter(target).known_ids(READ_TIMEOUT_S)
        except NotDispatched:
            # Nothing listens there: what ran there is lost with it.
            ids = []
        except TargetBroken:
            ids = None
        if target.kind == "service":
            ids = ids or []
        post(ref, KnownIds(target.name, ids))

    def _reports(self):
        while not self._stopped.wait(self._node.cfg.pools_report_period):
            for (subject, region), ref in self._node.pools.refs():
                pool = self._node.view.pools().get((subject, region), [])
                for target in pool:
                    self._poll(ref, target)

    def _poll(self, ref, target):
        if target.name in self._busy:
            return
        self._busy.add(target.name)
        self._submit(lambda: self._report(ref, target))

    def _report(self, ref, target):
        try:
            report = self.adapter(target).load(READ_TIMEOUT_S)
        except (NotDispatched, TargetBroken, ValueError, TypeError):
            report = None
        finally:
            self._busy.discard(target.name)
        post(ref, Reported(target.name, report))

    def _hosts(self):
        while not self._stopped.wait(HOSTS_PERIOD_S):
            try:
                records = self._node.host_list.read()
            except StoreError:
                continue
            self._node.note_hosts(records)
            leaving = frozenset(r.name for r in records if r.state == "leaving")
            for _, ref in self._node.pools.refs():
                post(ref, TargetsLeaving(leaving))
