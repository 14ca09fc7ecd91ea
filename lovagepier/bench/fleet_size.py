"""The size of the fleet that the control work is scaled to."""

from dataclasses import dataclass

__all__ = ["Size"]


@dataclass(slots=True, frozen=True)
class Size:
    """The fleet size to design for.

    `requests` is the rate a second; `record_share` is the fraction of record
    calls among them. `seconds_in_queue` and `seconds_running` are means.
    `batch_interval` is the seconds between ledger writes of a shard.
    `horizon_seconds` is the maximum age of an idempotency key; its claim stays
    in memory for twice as long. `watchers_per_region` is the number of nodes in
    each region that watch the configuration in the store.
    """

    nodes: int = 420
    targets: int = 680
    requests: float = 6300.0
    record_share: float = 0.2
    accounts: int = 640
    models: int = 16
    regions: int = 3
    changes_per_day: int = 2000
    seconds_in_queue: float = 0.3
    seconds_running: float = 3.0
    open_moves: int = 4
    routes: int = 8
    shards: int = 16
    batch_interval: float = 0.1
    horizon_seconds: float = 600.0
    watchers_per_region: int = 2
    report_period: float = 0.5
