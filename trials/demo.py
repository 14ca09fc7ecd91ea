"""The demo: a small fleet under load, with two rollouts, a kill and a shutdown."""

import json
import signal
import sys
import threading
import time
import uuid
from collections import Counter

from lovagepier.client import Caller, CallerError
from trials.cluster import Cluster, wait_until

__all__ = ["main"]

ENGINES = (
    ("slow-west", "a1", 0.02, 4000),
    ("fast-west", "a1", 0.005, 16000),
    ("mid-west", "a2", 0.01, 8000),
    ("mid-east", "b1", 0.01, 8000),
)
ACCOUNTS = (
    ("surveyors", "urgent"),
    ("counters", "standard"),
    ("letters", "batch"),
    ("archive", "spare"),
)
ROLLOUT_S = 14.0
SENDERS_PER_ACCOUNT = 3
SEND_INTERVAL_S = 0.03


class ReplyLog:
    """The replies that callers received."""

    def __init__(self):
        self._lock = threading.Lock()
        self.replies = []
        self.records = []

    def add(self, account, reply):
        """Add the reply to a model request."""
        with self._lock:
            self.replies.append((account, reply))

    def add_record(self, account, key, reply):
        """Add the reply to a write."""
        with self._lock:
            self.records.append((account, key, reply))


def _send_models(cluster, reply_log, account, stop):
    caller = Caller(cluster.addresses(), f"key-of-{account}", "a1")
    number = 0
    while not stop.is_set():
        number += 1
        tokens = 60 if number % 5 == 0 else 8
        route = "report" if number % 5 == 0 else "note"
        fields = {
            "model": "drafter",
            "messages": [{"role": "user", "content": f"text [[tokens={tokens}]]"}],
            "stream": number % 2 == 0,
        }
        try:
            reply_log.add(account, caller.complete(fields, 10_000, route=route))
        except CallerError:
            time.sleep(SEND_INTERVAL_S)
        time.sleep(SEND_INTERVAL_S)


def _send_records(cluster, reply_log, account, stop):
    caller = Caller(cluster.addresses(), f"key-of-{account}", "b1")
    while not stop.is_set():
        key = uuid.uuid4().hex
        try:
            reply = caller.record("POST", "/ledger/pledges", b"{}", key, 8000)
        except CallerError:
            continue
        reply_log.add_record(account, key, reply)
        time.sleep(SEND_INTERVAL_S)


def _start_fleet(cluster):
    cluster.start_platform()
    for name, zone, pace, prefill in ENGINES:
        cluster.start_engine(name, zone, pace=pace, prefill=prefill)
    cluster.start_engine("good-west", "a2", version="v2", pace=0.008)
    cluster.start_engine("good-east", "b1", version="v2", pace=0.008)
    cluster.start_engine("bad-west", "a1", version="v3", pace=0.008)
    cluster.start_records_worker("records-west", "a1")
    cluster.start_records_worker("records-east", "b1")
    for name, tier in ACCOUNTS:
        cluster.add_account(name, tier)
    for name, zone in (("n1", "a1"), ("n2", "a2"), ("n3", "b1")):
        cluster.start_node(name, zone)
    cluster.await_members(3)
    cluster.configure()


def _start_rollout(cluster, name, version, seconds):
    now = time.time()
    value = {
        "model": "drafter",
        "to": version,
        "start": now,
        "finish_by": now + seconds,
        "steps": [[0, 0.05], [0.2, 0.2], [0.4, 0.6], [0.6, 1.0]],
    }
    path = f"/moves/{name}"
    cluster.patch([{"op": "add", "path": path, "value": value}])


def _await_rollout(cluster, name, seconds):
    what = f"the end of move {name}"
    return wait_until(lambda: cluster.finished_rollout(name), seconds, what)["state"]


def _start_traffic(cluster, reply_log, stop):
    threads = []
    for account, _ in ACCOUNTS:
        for _ in range(SENDERS_PER_ACCOUNT):
            threads.append(
                threading.Thread(
                    target=_send_models, args=(cluster, reply_log, account, stop)
                )
            )
    threads.append(
        threading.Thread(
            target=_send_records, args=(cluster, reply_log, "counters", stop)
        )
    )
    for thread in threads:
        thread.start()
    return threads


def _run_events(cluster, reply_log):
    stop = threading.Event()
    threads = _start_traffic(cluster, reply_log, stop)
    outcomes = []
    try:
        time.sleep(2)
        _start_rollout(cluster, "to-good", "v2", ROLLOUT_S)
        outcomes.append(
            ("good version", _await_rollout(cluster, "to-good", 40), "done")
        )
        cluster.set_faults("bad-west", failing=0.8)
        _start_rollout(cluster, "to-bad", "v3", ROLLOUT_S)
        outcomes.append(
            ("bad version", _await_rollout(cluster, "to-bad", 40), "taken-back")
        )
        cluster.nodes["n2"].signal(signal.SIGKILL)
        time.sleep(4)
        cluster.nodes["n1"].terminate()
        outcomes.append(("exit code of the stop", cluster.nodes["n1"].wait(), 0))
        time.sleep(1)
    finally:
        stop.set()
        for thread in threads:
            thread.join(30)
    return outcomes


def _print_timeline(cluster):
    events = cluster.operator_call("GET", "/v1/events?limit=100000")[1]["events"]
    shown = [e for e in events if e["part"] not in ("entry",) and "request" not in e]
    print(f"time line: {len(events)} events, those that are not a request's own:")
    began = shown[0]["at"] if shown else 0
    for event in shown:
        why = f" because {event['why']}" if "why" in event else ""
        move = f" [{event['move']}]" if "move" in event else ""
        facts = " ".join(f"{k}={v}" for k, v in event.get("facts", {}).items())
        at = event["at"] - began
        line = f"  {at:7.2f} s {event['node']} {event['part']}: {event['event']}"
        print(f"{line}{why}{move} {facts}")


def _check(cluster, reply_log, outcomes):
    """Print the counts of requests and replies; return the faults found."""
    faults = [
        f"{what}: {got}, not {want}" for what, got, want in outcomes if got != want
    ]
    dispatched = cluster.dispatch_counts()
    faults += [f"{i} was dispatched {n} times" for i, n in dispatched.items() if n > 1]
    print(f"{'account':<12}{'asked':>7}{'answered':>10}{'refused':>9}{'other':>7}")
    for account, _ in ACCOUNTS:
        replies = [r for a, r in reply_log.replies if a == account]
        good = [r for r in replies if r.status == 200 and r.is_complete]
        refused = [r for r in replies if r.status != 200 and r.run == "no"]
        other = len(replies) - len(good) - len(refused)
        print(
            f"{account:<12}{len(replies):>7}{len(good):>10}{len(refused):>9}{other:>7}"
        )
        faults += _check_replies(account, good, refused, dispatched)
    faults += _check_records(cluster, reply_log)
    kinds = Counter(r.error_kind() for _, r in reply_log.replies if r.status != 200)
    print(f"errors: {json.dumps(kinds)}")
    return faults


def _check_replies(account, good, refused, dispatched):
    faults = []
    for reply in good:
        if dispatched.get(f"{account}.{reply.id}") != 1:
            faults.append(f"{reply.id} was answered without one dispatch")
        if f"{account}.{reply.id}:".encode() not in reply.body:
            faults.append(f"{reply.id} got another's answer")
    for reply in refused:
        if f"{account}.{reply.id}" in dispatched:
            faults.append(f"{reply.id} was told not run and was dispatched")
    return faults


def _check_records(cluster, reply_log):
    journal = cluster.journal("records-west") + cluster.journal("records-east")
    writes = Counter(entry["key"] for entry in journal)
    faults = [f"key {key} was written {n} times" for key, n in writes.items() if n > 1]
    counts = Counter()
    for _, key, reply in reply_log.records:
        if reply.status == 201:
            counts["recorded"] += 1
            if writes[key] != 1:
                faults.append(f"key {key} was answered and is not in the journal")
        elif reply.run == "no":
            counts["refused"] += 1
            if writes[key]:
                faults.append(f"key {key} was told not run and is in the journal")
        else:
            counts["other"] += 1
    print(
        f"records: asked {len(reply_log.records)}, recorded {counts['recorded']}, "
        f"refused {counts['refused']}, other {counts['other']}, "
        f"in journals {len(journal)}"
    )
    return faults


def main():
    """Run the demo; return 0 only if the replies match what engines and workers ran."""
    began = time.monotonic()
    reply_log = ReplyLog()
    with Cluster(callers_entry_ttl="1s") as cluster:
        _start_fleet(cluster)
        print(f"the fleet runs after {time.monotonic() - began:.1f} s")
        outcomes = _run_events(cluster, reply_log)
        _print_timeline(cluster)
        faults = _check(cluster, reply_log, outcomes)
    for fault in faults[:20]:
        print(f"FAULT: {fault}")
    print(f"{len(faults)} faults after {time.monotonic() - began:.1f} s")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
