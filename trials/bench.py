"""Run a load scenario over real processes, under one policy or against others."""

import argparse
import json
import sys
import threading
import time

from lovagepier.bench.load import Tier, drive, plan
from lovagepier.bench.measures import measures
from lovagepier.bench.scenarios import SCENARIOS
from lovagepier.decisions.policies import POLICIES
from trials.cluster import Cluster

__all__ = ["main", "run_scenario"]

TIERS = (
    Tier("first", "key-of-first", "urgent", 0.15),
    Tier("second", "key-of-second", "standard", 0.35),
    Tier("third", "key-of-third", "batch", 0.30),
    Tier("fourth", "key-of-fourth", "spare", 0.20),
)
WARM_SECONDS = 4.0
WARM_PART = 0.3


def _fleet(made, policy):
    cluster = Cluster(zones=made.zones, policy=policy, pools_report_period="200ms")
    cluster.start_platform()
    for number, spec in enumerate(made.engines):
        cluster.start_engine(
            f"e{number}",
            spec.zone,
            version=spec.version,
            pace=spec.pace,
            prefill=spec.prefill,
            slots=spec.slots,
            cache_blocks=spec.cache_blocks,
            lag=spec.lag,
            threads=400,
        )
    for tier in TIERS:
        cluster.add_account(tier.account, tier.name)
    for number, zone in enumerate(made.node_zones):
        cluster.start_node(f"n{number}", zone, callers_threads=400)
    cluster.await_members(len(made.node_zones))
    cluster.configure(models={"drafter": {"serving": "v1"}})
    return cluster


def _statuses(cluster):
    return {
        n["node"]: n for n in cluster.operator_call("GET", "/v1/status")[1]["nodes"]
    }


def _act(cluster, made, action):
    if action == "new-version-fails":
        for name, entry in cluster.engines.items():
            if entry["version"] == made.move_to:
                cluster.set_faults(name, failing=0.7)
    elif action == "kv-down":
        cluster.set_faults("kv", down=1)
    elif action == "kv-up":
        cluster.set_faults("kv", down=None)
    elif action == "kill-node":
        list(cluster.nodes.values())[-1].kill()


def _start_events(cluster, made, seconds):
    for part, action in made.events:
        timer = threading.Timer(seconds * part, _act, [cluster, made, action])
        timer.daemon = True
        timer.start()
    if made.move_to:
        now = time.time()
        move = {
            "model": "drafter",
            "to": made.move_to,
            "start": now,
            "finish_by": now + seconds,
        }
        cluster.patch([{"op": "add", "path": "/moves/bench", "value": move}])


def _difference(before, after):
    names = ("prefill_tokens", "wasted_prefill", "decoded_tokens", "finished")
    return {name: after[name] - before[name] for name in names}


def run_scenario(name, policy, seed, seconds):
    """Run one scenario; return its figures."""
    made = SCENARIOS[name]()
    with _fleet(made, policy) as cluster:
        warm = plan(TIERS, made.mix, made.rate * WARM_PART, WARM_SECONDS, seed + 1)
        drive(cluster.addresses(), warm)
        before = {e: cluster.counts(e) for e in cluster.engines}
        status = _statuses(cluster)
        arrivals = plan(TIERS, made.mix, made.rate, seconds, seed, made.rate_at)
        _start_events(cluster, made, seconds)
        began = time.monotonic()
        sent = drive(cluster.addresses()[:2], arrivals, zone="a1")
        took = time.monotonic() - began
        engines = [_difference(before[e], cluster.counts(e)) for e in cluster.engines]
        found = measures(sent, engines)
        found["policy"] = policy
        found["control"] = _control(status, _statuses(cluster), took)
        found["kv"] = cluster.counts("kv")
        found["dispatched_twice"] = sum(
            times > 1 for times in cluster.dispatch_counts().values()
        )
        if made.move_to:
            found["move"] = _move(cluster, sent, made)
        return found


def _control(before, after, took):
    rows = [
        (
            after[name]["cpu_seconds"] - before[name]["cpu_seconds"],
            after[name]["peer_bytes_sent"] - before[name]["peer_bytes_sent"],
        )
        for name in after
        if name in before
    ]
    return {
        "cpu_cores_a_node": round(sum(r[0] for r in rows) / len(rows) / took, 4),
        "peer_bytes_a_second_a_node": round(sum(r[1] for r in rows) / len(rows) / took),
    }


def _move(cluster, sent, made):
    moves = cluster.operator_call("GET", "/v1/moves")[1]["moves"]
    new = {n for n, e in cluster.engines.items() if e["version"] == made.move_to}
    times = [s.ended for s in sent if s.target in new or s.kind == "target-failed"]
    return {
        "state": moves[0]["state"],
        "share": moves[0]["share"],
        "cause": moves[0]["cause"],
        "requests_to_it": sum(len(cluster.counts(name)["dispatches"]) for name in new),
        "last_answer_of_it_s": round(max(times, default=0.0), 1),
        "failed_share": round(
            sum(s.kind == "target-failed" for s in sent) / max(len(sent), 1), 4
        ),
    }


def _plot(rows, path):
    try:
        import matplotlib
    except ImportError:
        raise SystemExit("--plot needs matplotlib: pip install -e '.[plot]'")
    matplotlib.use("svg")
    from matplotlib import pyplot

    names = list(rows)
    tiers = [tier.name for tier in TIERS]
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    width = 0.8 / len(names)
    for number, name in enumerate(names):
        heights = [rows[name]["goodput_by_tier"].get(tier, 0) for tier in tiers]
        places = [place + number * width for place in range(len(tiers))]
        axes[0].bar(places, heights, width, label=name)
    axes[0].set_xticks(range(len(tiers)), tiers)
    axes[0].set_ylabel("goodput")
    axes[0].legend(fontsize=7)
    axes[1].bar(names, [rows[name]["wasted_prefill"] for name in names])
    axes[1].set_ylabel("wasted prefill tokens")
    axes[1].tick_params(axis="x", labelrotation=20, labelsize=7)
    figure.tight_layout()
    figure.savefig(path)


def _print_row(name, row):
    tiers = "  ".join(f"{t} {g:.3f}" for t, g in row["goodput_by_tier"].items())
    print(
        f"{name:<16} goodput {row['goodput']:.3f}  {tiers}  "
        f"first p95 {row['first_token_s']['p95']:.3f} s  "
        f"wasted {row['wasted_prefill']}  inversions {row['tier_inversions']}  "
        f"{row['not_good']}"
    )
    if "move" in row:
        print(f"{'':<16} move {row['move']}")


def main(argv=None):
    """Run a scenario under one policy and those it is held against."""
    parser = argparse.ArgumentParser(prog="scripts/bench", description=__doc__)
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--policy", default="finish-time", choices=sorted(POLICIES))
    parser.add_argument(
        "--against", action="append", default=[], choices=sorted(POLICIES)
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--plot", help="write an SVG of the figures")
    args = parser.parse_args(argv)
    rows = {}
    for name in [args.policy, *args.against]:
        rows[name] = run_scenario(args.scenario, name, args.seed, args.seconds)
        if not args.json:
            _print_row(name, rows[name])
    if args.json:
        print(json.dumps(rows, indent=2))
    if args.plot:
        _plot(rows, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
