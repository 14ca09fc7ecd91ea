"""Helpers of the tests with failures: a cluster, steady traffic, result checks."""

import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from lovagepier.client import Caller, CallerError
from test.builders import completion
from trials.cluster import Cluster, wait_until

__all__ = ["Traffic", "make_fleet", "start_streams"]


def make_fleet(nodes=3, engines=3, records=2, pace=0.01, **settings):
    """Return a started `Cluster` with one account in each of the first three tiers."""
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
    """Callers that send model requests and writes in threads until stopped.

    `replies` holds (account, reply) of model requests, `writes` (idempotency key,
    reply). `mismatches` compares both with what the engines and the records
    workers have counted.
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
                self._start_sender(self._send_requests, account, number)
        for number in range(records):
            self._start_sender(self._send_writes, "mid", number)

    def _start_sender(self, run, account, number):
        thread = threading.Thread(target=run, args=(account, number))
        thread.start()
        self._threads.append(thread)

    def _caller(self, account, number):
        addresses = self.cluster.addresses()
        rotated = addresses[number % len(addresses) :] + addresses
        return Caller(rotated, f"key-of-{account}", ("a1", "b1")[number % 2])

    def _send_requests(self, account, number):
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

    def _send_writes(self, account, number):
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

    def wait_for_more(self, count, seconds=20.0):
        """Wait until `count` more replies have arrived."""
        expected_count = self.count() + count
        wait_until(
            lambda: self.count() >= expected_count, seconds, f"{count} more replies"
        )

    def stop(self):
        """Stop the senders; wait for the replies to what they have sent."""
        self._stop.set()
        for thread in self._threads:
            thread.join(60)

    def mismatches(self):
        """Return descriptions of all disagreements between replies and executions.

        These are: a request or write that ran more than once, one that ran although
        its caller was informed that it did not, a write answered with 201 but not made,
        and an answer with missing or repeated tokens.
        """
        return self._request_mismatches() + self._write_mismatches()

    def _request_mismatches(self):
        dispatch_counts = self.cluster.dispatch_counts()
        mismatches = [
            f"{i} dispatched {n} times" for i, n in dispatch_counts.items() if n > 1
        ]
        for account, reply in self.replies:
            name = f"{account}.{reply.id}"
            if reply.run == "no" and name in dispatch_counts:
                mismatches.append(
                    f"{name} told not run ({reply.error_kind()}), dispatched"
                )
            if reply.status == 200 and reply.is_complete:
                mismatches += self._answer_mismatches(name, reply)
        return mismatches

    def _answer_mismatches(self, name, reply):
        tokens = [
            f"{name}:{number} ".encode() in reply.body for number in range(self.tokens)
        ]
        found = reply.body.count(name.encode() + b":")
        if not all(tokens) or found != self.tokens:
            return [f"{name}: {sum(tokens)} tokens of {found}"]
        return []

    def _write_mismatches(self):
        write_counts = Counter()
        for name in self.cluster.services:
            write_counts.update(entry["key"] for entry in self.cluster.journal(name))
        mismatches = [
            f"key {k} written {n} times" for k, n in write_counts.items() if n > 1
        ]
        for key, reply in self.writes:
            if reply.status == 201 and write_counts[key] != 1:
                mismatches.append(
                    f"key {key} answered 201, written {write_counts[key]} times"
                )
            if reply.run == "no" and write_counts[key]:
                mismatches.append(
                    f"key {key} told not run ({reply.error_kind()}), written"
                )
        return mismatches

    def unanswered(self):
        """Return (account, id, status, error kind) of requests not fully answered."""
        return [
            (account, reply.id, reply.status, reply.error_kind())
            for account, reply in self.replies
            if not (reply.status == 200 and reply.is_complete)
        ]


def start_streams(cluster, count, tokens, account="high"):
    """Start `count` streams, spread over all nodes; return futures of replies."""
    executor = ThreadPoolExecutor(count)

    def complete_one(number):
        addresses = cluster.addresses()
        shift = number % len(addresses)
        caller = Caller(
            addresses[shift:] + addresses[:shift], f"key-of-{account}", pinned=True
        )
        return caller.complete(completion(f"s{number}", tokens), 60_000)

    return [executor.submit(complete_one, number) for number in range(count)]
