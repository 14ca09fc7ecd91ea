"""Measure the first-byte latency that a node adds, and whether its memory grows."""

import argparse
import json
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from lovagepier.client import Caller
from trials.cluster import Cluster

__all__ = ["main"]

OPEN_STREAMS = 50
REQUESTS_PER_S = 100.0
PAGE_SIZE_KB = 4


def _fields(tokens):
    return {"model": "drafter", "prompt": f"x [[tokens={tokens}]]", "stream": True}


def _resident_kb(process):
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * PAGE_SIZE_KB


def _send_at_rate(caller, count, rate):
    """Send `count` requests at `rate` a second; return sorted first-byte times."""
    times = []
    started = time.monotonic() + 0.1

    def send_one(number):
        planned = started + number / rate
        time.sleep(max(0.0, planned - time.monotonic()))
        late = time.monotonic() - planned
        reply = caller.complete(_fields(3), 20_000)
        if reply.status == 200:
            times.append(reply.first_byte_seconds + late)

    with ThreadPoolExecutor(32) as threads:
        list(threads.map(send_one, range(count)))
    return sorted(times)


def _open_streams(caller, count, seconds, pace):
    tokens = int(seconds / pace)
    for _ in range(count):
        threading.Thread(
            target=caller.complete, args=(_fields(tokens), 110_000), daemon=True
        ).start()


def _quantiles(times):
    return {
        name: round(times[int(len(times) * part)] * 1000, 2)
        for name, part in (("p50_ms", 0.5), ("p95_ms", 0.95), ("p99_ms", 0.99))
    }


def _measure_idle_cost(nodes, seconds):
    """Return what each of `nodes` idle nodes uses of processor, network and memory."""
    with Cluster(zones={"a1": "west"}) as cluster:
        cluster.start_platform()
        cluster.start_engine("e0", "a1")
        cluster.add_account("blue", "urgent")
        for number in range(nodes):
            cluster.start_node(f"n{number}", "a1")
        cluster.await_members(nodes)
        cluster.configure()
        time.sleep(2)
        before = _node_statuses(cluster)
        time.sleep(seconds)
        after = _node_statuses(cluster)
        rows = []
        for name, late in after.items():
            early = before[name]
            took = late["uptime"] - early["uptime"]
            sent = late["peer_bytes_sent"] - early["peer_bytes_sent"]
            rows.append(
                {
                    "node": name,
                    "core_percent": round(
                        (late["cpu_seconds"] - early["cpu_seconds"]) / took * 100, 2
                    ),
                    "bytes_a_second": round(sent / took),
                    "resident_mb": round(_resident_kb(cluster.nodes[name]) / 1000, 1),
                }
            )
        return rows


def _node_statuses(cluster):
    return {
        n["node"]: n for n in cluster.operator_call("GET", "/v1/status")[1]["nodes"]
    }


def main(argv=None):
    """Print first-byte times direct and through a node.

    With --flat also print the node's memory under load; with --idle print only
    what idle nodes use.
    """
    parser = argparse.ArgumentParser(prog="scripts/overhead", description=__doc__)
    parser.add_argument("--count", type=int, default=1000, help="requests a run")
    parser.add_argument("--flat", type=int, default=0, help="requests to check memory")
    parser.add_argument("--idle", type=float, default=0.0, help="seconds; nothing else")
    parser.add_argument("--nodes", type=int, default=3, help="nodes with --idle")
    args = parser.parse_args(argv)
    if args.idle:
        print(json.dumps(_measure_idle_cost(args.nodes, args.idle), indent=2))
        return 0
    pace = 0.05
    with Cluster(zones={"a1": "west"}, callers_threads=300) as cluster:
        cluster.start_platform()
        cluster.start_engine(
            "e0", "a1", slots=400, prefill=1e6, pace=pace / 5, threads=400
        )
        key = cluster.add_account("blue", "urgent")
        node = cluster.start_node("n0", "a1")
        cluster.await_members(1)
        cluster.configure()
        through = Caller([node.url], key, pinned=True)
        direct = Caller([cluster.processes["e0"].url], key, pinned=True)
        _send_at_rate(through, 100, 50)
        result = {}
        seconds = 2 * args.count / REQUESTS_PER_S + 10
        _open_streams(through, OPEN_STREAMS, seconds, pace)
        time.sleep(1)
        for name, caller in (("direct", direct), ("node", through)):
            result[name] = _quantiles(_send_at_rate(caller, args.count, REQUESTS_PER_S))
        result["added_p50_ms"] = round(
            result["node"]["p50_ms"] - result["direct"]["p50_ms"], 2
        )
        result["added_p99_ms"] = round(
            result["node"]["p99_ms"] - result["direct"]["p99_ms"], 2
        )
        if args.flat:
            result["memory_kb"] = [_resident_kb(node)]
            for _ in range(4):
                _send_at_rate(through, args.flat // 4, 200.0)
                result["memory_kb"].append(_resident_kb(node))
        print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
