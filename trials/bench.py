"""Run a load scenario with real processes and compare placement policies."""

import argparse
import json
import sys
import threading
import time

from lovagepier.bench.load import Tier, plan_arrivals, send_load
from lovagepier.bench.measures import measure
from lovagepier.bench.scenarios import SCENARIOS
from lovagepier.decisions.placement.policies import POLICIES
from trials.cluster import Cluster

__all__ = ["main", "run_scenario"]

TIERS = (
    Tier("first", "key-of-first", "urgent", 0.15),
    Tier("second", "key-of-second", "standard", 0.35),
    Tier("third", "key-of-third", "batch", 0.30),
    Tier("fourth", "key-of-fourth", "spare", 0.20),
)
WARMUP_S = 4.0
WARMUP_RATE_FRACTION = 0.3


def _start_fleet(scenario, policy):
    cluster = Cluster(zones=scenario.zones, policy=policy, pools_report_period="200ms")
    cluster.start_platform()
    for number, spec in enumerate(scenario.engines):
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
    for number, zone in enumerate(scenario.node_zones):
        cluster.start_node(f"n{number}", zone, callers_threads=400)
    cluster.await_members(len(scenario.node_zones))
    cluster.configure(models={"drafter": {"serving": "v1"}})
    return cluster


def _node_statuses(cluster):
    return {
        n["node"]: n for n in cluster.operator_call("GET", "/v1/status")[1]["nodes"]
    }


def _apply_event(cluster, scenario, action):
    if action == "new-version-fails":
        for name, entry in cluster.engines.items():
            if entry["version"] == scenario.move_to:
                cluster.set_faults(name, failing=0.7)
    elif action == "kv-down":
        cluster.set_faults("kv", down=1)
    elif action == "kv-up":
        cluster.set_faults("kv", down=None)
    elif action == "kill-node":
        list(cluster.nodes.values())[-1].kill()


def _start_events(cluster, scenario, seconds):
    for fraction, action in scenario.events:
        timer = threading.Timer(
            seconds * fraction, _apply_event, [cluster, scenario, action]
        )
        timer.daemon = True
        timer.start()
    if scenario.move_to:
        now = time.time()
        move = {
            "model": "drafter",
            "to": scenario.move_to,
            "start": now,
            "finish_by": now + seconds,
        }
        cluster.patch([{"op": "add", "path": "/moves/bench", "value": move}])


def _counter_deltas(before, after):
    names = ("prefill_tokens", "wasted_prefill", "decoded_tokens", "finished")
    return {name: after[name] - before[name] for name in names}


def run_scenario(name, policy, seed, seconds):
    """Start a fleet, run one scenario under a policy and return the measurements.

    A warm-up at a fraction of the rate comes first and is not measured.
    """
    scenario = SCENARIOS[name]()
    with _start_fleet(scenario, policy) as cluster:
        warmup = plan_arrivals(
            TIERS,
            scenario.mix,
            scenario.rate * WARMUP_RATE_FRACTION,
            WARMUP_S,
            seed + 1,
        )
        send_load(cluster.addresses(), warmup)
        before = {e: cluster.counts(e) for e in cluster.engines}
        status = _node_statuses(cluster)
        arrivals = plan_arrivals(
            TIERS, scenario.mix, scenario.rate, seconds, seed, scenario.rate_at
        )
        _start_events(cluster, scenario, seconds)
        began = time.monotonic()
        sent = send_load(cluster.addresses()[:2], arrivals, zone="a1")
        took = time.monotonic() - began
        engines = [
            _counter_deltas(before[e], cluster.counts(e)) for e in cluster.engines
        ]
        result = measure(sent, engines)
        result["policy"] = policy
        result["control"] = _control_cost(status, _node_statuses(cluster), took)
        result["kv"] = cluster.counts("kv")
        result["dispatched_twice"] = sum(
            times > 1 for times in cluster.dispatch_counts().values()
        )
        if scenario.move_to:
            result["move"] = _rollout_result(cluster, sent, scenario)
        return result


def _control_cost(before, after, took):
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


def _rollout_result(cluster, sent, scenario):
    moves = cluster.operator_call("GET", "/v1/moves")[1]["moves"]
    new = {n for n, e in cluster.engines.items() if e["version"] == scenario.move_to}
    times = [s.ended_s for s in sent if s.target in new or s.kind == "target-failed"]
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
    """Run a scenario under each policy and print the results."""
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
