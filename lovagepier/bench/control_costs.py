"""Measures the cost of each kind of control work: time, memory and bytes sent."""

import json
import random
import time
import tracemalloc
import zlib
from dataclasses import astuple

from lovagepier.config import ConfigRecord, ConfigView, check_document, empty_document
from lovagepier.decisions.membership.claims import Shard
from lovagepier.decisions.membership.membership import (
    MAX_UPDATES,
    PROBE_PERIOD_S,
    Membership,
    Status,
    Update,
)
from lovagepier.decisions.placement.policies import POLICIES
from lovagepier.decisions.placement.prefixes import PrefixIndex
from lovagepier.decisions.placement.rendezvous import rank
from lovagepier.decisions.placement.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.placement.work import Outcome, Work
from lovagepier.frames import encode
from lovagepier.node import encode_work
from lovagepier.peers import messages

__all__ = ["measure_costs"]


def _seconds_per_call(function, count):
    """Return the seconds of one call: the median of five rounds of `count` calls."""
    rounds = []
    for _ in range(5):
        began = time.perf_counter()
        for number in range(count):
            function(number)
        rounds.append((time.perf_counter() - began) / count)
    return sorted(rounds)[2]


def _measure_memory(build):
    """Return (bytes that the result of `build` holds, the result)."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before, built


def _make_facts(number):
    return {
        "peer": [f"10.0.{number % 250}.{number // 250}", 8082],
        "url": f"http://10.0.{number % 250}.{number // 250}:8080",
        "zone": f"zone{number % 10}",
        "region": f"region{number % 3}",
    }


def _measure_membership(nodes):
    def build():
        membership = Membership("n0", _make_facts(0), 1, random.Random(1))
        rows = [
            Update(f"n{i}", 1, Status.ALIVE, _make_facts(i)) for i in range(1, nodes)
        ]
        membership.apply(rows, 0.0)
        membership.events()
        return membership

    held, membership = _measure_memory(build)
    rows = membership.all_updates()[:MAX_UPDATES]
    clock = [0.0]

    def period(_):
        clock[0] += PROBE_PERIOD_S
        for probe in membership.tick(clock[0]):
            membership.on_ack(probe.sequence, clock[0])
        membership.apply(rows, clock[0])
        membership.updates()

    seconds = _seconds_per_call(period, 200)
    full = [[r.name, r.incarnation, r.status, r.facts] for r in rows]
    quiet_probe_bytes = len(encode(messages.Probe("n0", "n1", 7, 100, [])))
    full_probe_bytes = len(encode(messages.Probe("n0", "n1", 7, 100, full)))
    return {
        "bytes_held": held,
        "seconds_a_period": seconds,
        "bytes_a_quiet_probe": quiet_probe_bytes,
        "bytes_a_full_probe": full_probe_bytes,
    }


def _make_work(number, accounts=640):
    rng = random.Random(number)
    return Work(
        id=f"account{number % accounts}.{number:032x}",
        entry=f"n{number % 420}",
        account=f"account{number % accounts}",
        tier=number % 4,
        deadline=1e6 + rng.random(),
        prefill_tokens=500,
        blocks=tuple(rng.getrandbits(64) for _ in range(8)),
        fingerprint=f"{number:032x}",
        nonce=f"{number:032x}",
    )


def _make_scheduler(targets):
    scheduler = PoolScheduler(SchedulerOptions(), random.Random(1))
    scheduler.old_version = "v1"
    for number in range(targets):
        scheduler.set_target(f"e{number}", "zone1", "v1", "i", 0.0)
    return scheduler


def _measure_placement(targets):
    scheduler = _make_scheduler(targets)
    policy = POLICIES["finish-time"]()
    index = PrefixIndex()
    works = [_make_work(number) for number in range(500)]
    for number, work in enumerate(works):
        index.add(f"e{number % targets}", work.blocks)
    rng = random.Random(2)

    def choose(number):
        work = works[number % 500]
        policy.choose(scheduler.fleet, "v1", work, index, 1.0, rng)

    return _seconds_per_call(choose, 1000)


def _measure_pool(targets=14):
    scheduler = _make_scheduler(targets)
    works = [_make_work(number) for number in range(6000)]
    place = iter(works)
    ended = []

    def permit(_):
        work = next(place)
        for decision in scheduler.offer(work, 1.0):
            ended.append(decision.work.id)
        if len(ended) > 8:
            scheduler.finish(Outcome(ended.pop(0), "", "ok", 0.1, 0.5, 50), 1.0)

    seconds = _seconds_per_call(permit, 1000)
    works = [_make_work(100_000 + number) for number in range(10_000)]
    held, full = _measure_memory(lambda: _offer_all(_make_scheduler(targets), works))
    extra = iter([_make_work(200_000 + number) for number in range(6000)])
    full_seconds = _seconds_per_call(lambda _: full.offer(next(extra), 1.0), 1000)
    ask = messages.PermitRequest(
        "drafter",
        "west",
        works[0].id,
        works[0].tier,
        works[0].nonce,
        2.0,
        True,
        False,
        encode_work(works[0]),
    )
    answer = messages.PermitResponse(
        "grant", works[0].id, works[0].nonce, "e1", "v1", "n1/abcdef/1"
    )
    outcome = list(astuple(Outcome(works[0].id, "e1", "ok", 0.1, 0.5, 50)))
    finished = messages.PoolFinished("drafter", "west", works[0].nonce, outcome)
    first = messages.PoolFirstByte("drafter", "west", works[0].id, 0.1)
    total = sum(len(encode(body)) for body in (ask, answer, finished, first))
    return {
        "seconds_a_permit": seconds,
        "seconds_a_permit_full_queue": full_seconds,
        "bytes_held_a_waiting_request": held / 10_000,
        "wire_bytes_a_permit": total,
    }


def _offer_all(scheduler, works):
    for work in works:
        scheduler.offer(work, 1.0)
    return scheduler


def _make_document(size):
    document = empty_document()
    document["zones"] = {f"zone{n}": {"region": f"region{n % 3}"} for n in range(10)}
    rng = random.Random(1)
    for number in range(size.accounts):
        digest = f"{rng.getrandbits(256):064x}"
        document["accounts"][f"account{number}"] = {
            "key_hashes": [digest],
            "tier": "standard",
            "weight": 1.5,
        }
    for number in range(size.models):
        document["models"][f"model{number}"] = {"serving": "v1"}
    for number in range(size.targets):
        document["targets"][f"target{number}"] = {
            "kind": "engine",
            "address": f"http://10.1.{number % 250}.{number // 250}:9000",
            "zone": f"zone{number % 10}",
            "model": f"model{number % size.models}",
            "version": "v1",
            "fenced": True,
        }
    return document


def _measure_config(size):
    document = _make_document(size)
    record = ConfigRecord(1, document, {f"patch{n:032x}": n for n in range(500)})
    data = record.to_bytes()
    held, _ = _measure_memory(lambda: ConfigView(1, json.loads(data)["document"]))
    seconds = _seconds_per_call(lambda _: _adopt_config(data), 3)
    return {
        "document_bytes": len(data),
        "compressed_bytes": len(zlib.compress(data)),
        "seconds_to_adopt": seconds,
        "bytes_held": held,
    }


def _adopt_config(data):
    record = ConfigRecord.from_bytes(data)
    check_document(record.document)
    ConfigView(record.version, record.document)


def _measure_ledger():
    def build():
        shard = Shard(86_400.0)
        for number in range(5000):
            shard.claim(
                f"account1/ledger/{number:032x}", "b" * 32, f"{number}", None, 1
            )
        while shard.take_batch("n") is not None:
            shard.written()
        return shard

    held, _ = _measure_memory(build)
    began = time.perf_counter()
    build()
    return {
        "seconds_a_claim": (time.perf_counter() - began) / 5000,
        "bytes_held_a_claim": held / 5000,
        "wire_bytes_a_claim": len(
            encode(
                messages.ClaimRequest(
                    1, "account1/ledger/" + "0" * 32, "b" * 32, "n" * 32
                )
            )
        )
        * 3,
    }


def _measure_evidence(size):
    rows = [
        [f"move{m}#0", f"v{v}", f"route{r}", "n100/abcdef01", 1000, 10, 10]
        for m in range(size.open_moves)
        for v in (1, 2)
        for r in range(size.routes)
    ]
    return {"wire_bytes_all_rows": len(encode(messages.EvidenceUpdate(rows)))}


def measure_costs(size):
    """Return the costs of all kinds of control work at the given size."""
    names = [f"n{n}" for n in range(size.nodes // size.regions)]
    return {
        "membership_9": _measure_membership(9),
        "membership_100": _measure_membership(100),
        f"membership_{size.nodes}": _measure_membership(size.nodes),
        "placement_seconds": {n: _measure_placement(n) for n in (14, 56, 170, 680)},
        "pool": _measure_pool(),
        "config": _measure_config(size),
        "ledger": _measure_ledger(),
        "evidence": _measure_evidence(size),
        "seconds_to_rank_a_duty": _seconds_per_call(
            lambda n: rank(f"duty{n}", names), 200
        ),
    }
