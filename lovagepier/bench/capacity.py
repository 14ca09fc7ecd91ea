"""Scales the measured costs of control work to a fleet size and prints both."""

import json
import sys

from lovagepier.bench.control_costs import measure_costs
from lovagepier.bench.fleet_size import Size
from lovagepier.decisions.membership.membership import PROBE_PERIOD_S

__all__ = ["main", "scale_costs"]


def scale_costs(size, costs):
    """Return a table row for each role: messages, processor, memory and store calls."""
    membership = costs[f"membership_{size.nodes}"]
    pool = costs["pool"]
    config = costs["config"]
    ledger = costs["ledger"]
    pools = size.models * size.regions
    per_pool = size.requests / pools
    changes = size.changes_per_day / 86_400
    claims = size.requests * size.record_share
    per_shard = claims / size.shards
    probes = 2 / PROBE_PERIOD_S
    # A permit takes four messages: request, response, first byte and outcome.
    rows = [
        _row(
            "membership",
            f"{size.nodes} members",
            probes,
            membership["seconds_a_period"] / PROBE_PERIOD_S,
            membership["bytes_held"],
            0,
            probes * (membership["bytes_a_quiet_probe"] * 0.9)
            + probes * membership["bytes_a_full_probe"] * 0.1,
        ),
        _row(
            "configuration, each node",
            "one version",
            changes * 6,
            config["seconds_to_adopt"] * changes,
            config["bytes_held"] + config["document_bytes"],
            0,
            changes * 2 * config["compressed_bytes"],
        ),
        _row(
            "configuration watcher",
            f"{size.watchers_per_region * size.regions} nodes",
            0.05,
            0.0,
            0,
            0.05 + changes,
            0,
        ),
        _row(
            "entry node",
            "its own requests",
            4 * size.requests / size.nodes,
            0.0,
            size.requests / size.nodes * size.seconds_running * 4000,
            0,
            pool["wire_bytes_a_permit"] * size.requests / size.nodes * 0.6,
        ),
        _row(
            "pool coordinator",
            f"{per_pool:.0f} permits a second",
            4 * per_pool,
            pool["seconds_a_permit"] * per_pool,
            per_pool
            * (size.seconds_in_queue + size.seconds_running)
            * pool["bytes_held_a_waiting_request"],
            0,
            pool["wire_bytes_a_permit"] * per_pool * 0.4,
        ),
        _row(
            "ledger shard owner",
            f"{per_shard:.0f} claims a second",
            6 * per_shard,
            ledger["seconds_a_claim"] * per_shard * 2,
            ledger["bytes_held_a_claim"] * per_shard * 2 * size.horizon_seconds,
            1 / size.batch_interval,
            ledger["wire_bytes_a_claim"] * per_shard,
        ),
        _row(
            "rollouts, coordinator of a changing model",
            f"{size.open_moves} rollouts",
            size.regions * 2 * 5,
            0.0,
            0,
            0,
            costs["evidence"]["wire_bytes_all_rows"] / size.open_moves * 6 * 0.7,
        ),
    ]
    return rows


def _row(role, state, sent, core, memory, calls, wire):
    return {
        "role": role,
        "state": state,
        "messages_a_second": round(sent, 2),
        "core_percent": round(core * 100, 3),
        "memory_mb": round(memory / 1e6, 2),
        "store_calls_a_second": round(calls, 3),
        "bytes_a_second": round(wire),
    }


def _print_table(rows):
    names = list(rows[0])
    print("| " + " | ".join(name.replace("_", " ") for name in names) + " |")
    print("|" + "---|" * len(names))
    for row in rows:
        print("| " + " | ".join(str(row[name]) for name in names) + " |")


def main():
    """Print the costs and the resulting load of each role at the default size."""
    size = Size()
    costs = measure_costs(size)
    print(json.dumps(costs, indent=2))
    print()
    _print_table(scale_costs(size, costs))
    return 0


if __name__ == "__main__":
    sys.exit(main())
