"""What the tests under failure share: a fleet, steady traffic, two books."""

import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from lovagepier.client import Caller, CallerError
from test.builders import completion
from trials.cluster import Cluster, wait_until

__all__ = ["Traffic", "make_fleet", "streams"]


def make_fleet(nodes=3, engines=3, records=2, pace=0.01, **settings):
    """Return a started `Cluster` with accounts of the first three tiers."""
    settings.setdefault("callers_entry_ttl", "1s")
    cluster = Cluster(**settings)
    try:
        _populate(cluster, nodes, engines, records, pace)
    except BaseException:
        cluster.close()
        raise
    return cluster


def _populate(cluster, nodes, engines, records, pace):
    zones = ("a1", "a2", "b1", "a1", "a2", "b1")
    cluster.start_platform()
    for number in range(engines):
        cluster.start_engine(f"e{number}", zones[number], pace=pace)
    for number in range(records):
        cluster.start_records_worker(f"r{number}", zones[number])
    for name, tier in (("high", "urgent"), ("mid", "standard"), ("low", "batch")):
        cluster.add_account(name, tier)
    for number in range(nodes):
        cluster.start_node(f"n{number}", zones[number])
    cluster.await_members(nodes)
    cluster.configure()


class Traffic:
    """Callers that send model requests and writes until stopped.

    Keeps the callers' book; `faults` compares it with the books of engines
    and records workers.
    """

    def __init__(self, cluster, tokens=20, senders=2, records=1, deadline_ms=15_000):
        self.cluster = cluster
        self.tokens = tokens
        self.deadline_ms = deadline_ms
        self.replies = []
        self.writes = []
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = []
        for account in ("high", "mid", "low"):
            for number in range(senders):
                self._add(self._models, account, number)
        for number in range(records):
            self._add(self._records, "mid", number)

    def _add(self, run, account, number):
        thread = threading.Thread(target=run, args=(account, number))
        thread.start()
        self._threads.append(thread)

    def _caller(self, account, number):
        addresses = self.cluster.addresses()
        turned = addresses[number % len(addresses) :] + addresses
        return Caller(turned, f"key-of-{account}", ("a1", "b1")[number % 2])

    def _models(self, account, number):
        caller = self._caller(account, number)
        while not self._stop.is_set():
            try:
                reply = caller.complete(
                    completion(tokens=self.tokens), self.deadline_ms
                )
            except CallerError:
                time.sleep(0.05)
                continue
            with self._lock:
                self.replies.append((account, reply))

    def _records(self, account, number):
        caller = self._caller(account, number)
        while not self._stop.is_set():
            key = uuid.uuid4().hex
            try:
                reply = caller.record("POST", "/ledger/entries", b"{}", key, 8000)
            except CallerError:
                time.sleep(0.05)
                continue
            with self._lock:
                self.writes.append((key, reply))
            time.sleep(0.02)

    def count(self):
        """Return the number of replies so far."""
        with self._lock:
            return len(self.replies) + len(self.writes)

    def await_more(self, count, seconds=20.0):
        """Wait until `count` more replies have come."""
        wanted = self.count() + count
        wait_until(lambda: self.count() >= wanted, seconds, f"{count} more replies")

    def stop(self):
        """End the senders and wait for what they have sent."""
        self._stop.set()
        for thread in self._threads:
            thread.join(60)

    def faults(self):
        """Return where the books disagree."""
        return self._model_faults() + self._write_faults()

    def _model_faults(self):
        counted = self.cluster.dispatch_counts()
        faults = [f"{i} dispatched {n} times" for i, n in counted.items() if n > 1]
        for account, reply in self.replies:
            name = f"{account}.{reply.id}"
            if reply.run == "no" and name in counted:
                faults.append(f"{name} told not run ({reply.error_kind()}), dispatched")
            if reply.status == 200 and reply.is_complete:
                faults += self._answer_faults(name, reply)
        return faults

    def _answer_faults(self, name, reply):
        tokens = [
            f"{name}:{number} ".encode() in reply.body for number in range(self.tokens)
        ]
        found = reply.body.count(name.encode() + b":")
        if not all(tokens) or found != self.tokens:
            return [f"{name}: {sum(tokens)} tokens of {found}"]
        return []

    def _write_faults(self):
        journal = Counter()
        for name in self.cluster.services:
            journal.update(entry["key"] for entry in self.cluster.journal(name))
        faults = [f"key {k} written {n} times" for k, n in journal.items() if n > 1]
        for key, reply in self.writes:
            if reply.status == 201 and journal[key] != 1:
                faults.append(f"key {key} answered 201, written {journal[key]} times")
            if reply.run == "no" and journal[key]:
                faults.append(f"key {key} told not run ({reply.error_kind()}), written")
        return faults

    def unanswered(self):
        """Return (account, id, status, error kind) of what was not answered."""
        return [
            (account, reply.id, reply.status, reply.error_kind())
            for account, reply in self.replies
            if not (reply.status == 200 and reply.is_complete)
        ]


def streams(cluster, count, tokens, account="high"):
    """Start `count` streams over all nodes; return futures of replies."""
    threads = ThreadPoolExecutor(count)

    def one(number):
        addresses = cluster.addresses()
        turn = number % len(addresses)
        caller = Caller(
            addresses[turn:] + addresses[:turn], f"key-of-{account}", pinned=True
        )
        return caller.complete(completion(f"s{number}", tokens), 60_000)

    return [threads.submit(one, number) for number in range(count)]
