"""`GET /explain` and `lovagepier explain`: where a request would go, unsent."""

import asyncio
import json

import pytest

from lovagepier.commands._main import main
from lovagepier.decisions.limits.cold_limits import ColdBound, ColdLimit, ColdShare
from lovagepier.decisions.placement.explanation import dry_run, view_targets
from lovagepier.entry._cluster.messages import Granted, Refused
from lovagepier.entry._coordination.explanation import explain_request
from test.builders import ended, make_scheduler, make_work
from test.coordinator_builders import (
    make_cfg,
    make_coordinator,
    make_request,
    make_view,
)
from test.entry_builders import call, entry_fleet, read_response, wait_until


def _dump(value, seen=()):
    """Return all that an object holds, by value, for comparison."""
    if id(value) in seen or callable(value):
        return "..."
    seen = (*seen, id(value))
    if isinstance(value, dict):
        return [(str(key), _dump(each, seen)) for key, each in value.items()]
    if isinstance(value, (str, bytes, int, float, bool, type(None))):
        return value
    if hasattr(value, "getstate"):
        return value.getstate()
    fields = {}
    for cls in type(value).__mro__:
        for name in getattr(cls, "__slots__", ()):
            if hasattr(value, name):
                fields[name] = getattr(value, name)
    fields.update(getattr(value, "__dict__", {}))
    if fields:
        return type(value).__name__, _dump(fields, seen)
    if hasattr(value, "__iter__"):
        return [_dump(each, seen) for each in value]
    return repr(value)


def _coordinator(slots=2, pace="off"):
    """Return a coordinator with two targets and load, and what it sends."""
    cfg, answers = make_cfg(), []
    cfg.scheduling_pace = pace
    coordinator = make_coordinator(
        cfg, make_view(2, slots), lambda entry, each: answers.append(each)
    )
    for number in range(3):
        coordinator.on_dispatch_request("n1", make_request(f"r{number}"), 5.0)
    return coordinator, answers


@pytest.mark.parametrize("load, decision", [(0, "granted"), (4, "queued")])
def test_asking_changes_nothing(load, decision):
    """Fails if any part of the decision's state is shared with the copy."""
    asked, answers = _coordinator()
    unasked, same = _coordinator()
    for each in (asked, unasked):
        for number in range(load):
            each.on_dispatch_request("n1", make_request(f"q{number}"), 5.5)
    before = _dump(asked._pools), _dump(asked._account_quotas)
    for number in range(3):
        req = make_request("new", fingerprint=f"f{number}")
        answer = explain_request(asked, "n1", req, 6.0)
        assert answer["decision"] == decision
    assert (_dump(asked._pools), _dump(asked._account_quotas)) == before
    for each in (asked, unasked):
        each.on_dispatch_request("n1", make_request("new"), 6.0)
        each.tick(6.1)
    assert answers == same
    if decision == "granted":
        assert isinstance(answers[-1], Granted)
        granted = answers[-1]
        assert (answer["target"], answer["why"]) == (granted.target, granted.why)


def test_a_refusal_is_explained_as_it_would_be_sent():
    coordinator, answers = _coordinator()
    req = make_request("late")
    req.remaining_s = -1.0
    answer = explain_request(coordinator, "n1", req, 6.0)
    coordinator.on_dispatch_request("n1", req, 6.0)
    refused = answers[-1]
    assert isinstance(refused, Refused)
    assert (answer["kind"], answer["why"]) == (refused.kind, refused.why)
    assert (answer["status"], answer["retry_after_s"]) == (503, refused.retry_after)


def _drain(scheduler):
    scheduler.targets.set_draining("e1", True)


def _crash(scheduler):
    scheduler.targets.on_crash("e1", "c", 1.0)


def _eject(scheduler):
    for number in range(3):
        work = make_work(f"bad{number}")
        scheduler.adopt_running(work, "e1", 1.0)
        scheduler.finish(ended(work, "e1", "failed"), 1.0)


def _probe(scheduler):
    _crash(scheduler)
    scheduler.targets.begin_probing("e1")
    scheduler.adopt_running(make_work("probe"), "e1", 1.0)


def _limit(scheduler):
    scheduler.targets.adopt_limit("rate_limit", "e1", "i1", 0.5, 1.0)


def _brittle(scheduler):
    scheduler.targets.adopt_limit("rejection_limit", "e1", "i1", 1.0, 1.0)
    scheduler.adopt_running(make_work("run"), "e1", 1.0)
    scheduler.finish(ended(make_work("run"), "e1", "not-run"), 1.0)


def _pace(scheduler):
    scheduler.set_target("e1", "a1", "v1", "i2", 1.0)
    scheduler.adopt_running(make_work("run"), "e1", 1.0)


def _fill(scheduler):
    for number in range(8):
        scheduler.adopt_running(make_work(f"run{number}"), "e1", 1.0)


def _pause(scheduler):
    scheduler.pauses.pause("n1", "e1", "i1", 9.0)


def _exclude_version(scheduler):
    scheduler.set_target("e1", "a1", "v9", "i1", 1.0)


@pytest.mark.parametrize(
    "event, reason",
    [
        (_drain, "draining"),
        (_crash, "down"),
        (_eject, "ejected for 1.0 s"),
        (_probe, "probing"),
        (_limit, "rate limit"),
        (_brittle, "rejection limit"),
        (_pace, "pace"),
        (_fill, "full"),
        (_pause, "paused for this host"),
        (_exclude_version, "excluded version"),
    ],
)
def test_each_target_left_out_has_its_reason(event, reason):
    scheduler = make_scheduler(("e1", "e2"), slots=8.0, pace=event is _pace)
    event(scheduler)
    rows = view_targets(dry_run(scheduler), make_work("new"), 2.0)
    assert [(row.target, row.left_out) for row in rows] == [("e2", ""), ("e1", reason)]
    (grant,) = scheduler.offer(make_work("new"), 2.0)
    assert grant.target == "e2"


def _evacuated(scheduler):
    scheduler.targets.set_evacuated("e1", True, 1.0)


def _cold(scheduler):
    limit = ColdLimit(ColdBound(1.0, 1.5, 5.0), ColdShare())
    limit.begin(3.0, 1.0)
    scheduler.fleet.get("e1").cold_limit = limit


def _elsewhere(scheduler):
    scheduler.fleet.get("e1").region = "b"


@pytest.mark.parametrize(
    "event, reason",
    [(_evacuated, "evacuated"), (_cold, "cold"), (_elsewhere, "residence")],
)
def test_targets_that_a_zone_or_its_coldness_leaves_out_have_their_reason(
    event, reason
):
    scheduler = make_scheduler(("e1", "e2"), slots=8.0, region_of=lambda zone: "a")
    event(scheduler)
    work = make_work("new")
    work.regions = ("a",)
    rows = view_targets(dry_run(scheduler), work, 2.0)
    assert [(row.target, row.left_out) for row in rows] == [("e2", ""), ("e1", reason)]


# Over sockets


async def _get(host, path):
    reader, writer = await asyncio.open_connection(*host.cfg.metrics_listen)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        async with asyncio.timeout(10):
            response = await read_response(reader)
        return response.status, json.loads(response.body)
    finally:
        writer.close()


def test_a_host_explains_and_another_names_the_coordinator():
    async def scenario():
        async with entry_fleet(hosts=2) as fleet:
            first, second = fleet.hosts
            await wait_until(
                lambda: (
                    first.cluster.coordinator_name == second.cluster.coordinator_name
                )
            )
            name = first.cluster.coordinator_name
            is_first = first.cfg.host_name == name
            asked, follower = (first, second) if is_first else (second, first)
            status, answer = await _get(asked, "/explain?path=/read/x&account=blue")
            assert (status, answer["decision"]) == (200, "granted")
            assert (answer["target"], answer["by"]) == ("w1", "the coordinator")
            _, answer = await _get(follower, "/explain?route=read&account=blue")
            assert answer["by"] == "this host's own view"
            assert answer["coordinator"] == name
            assert not fleet.targets["w1"].arrivals
            assert (await call(asked, "/read/x", "r1")).status == 200

    asyncio.run(scenario())


def test_what_is_not_known_gets_one_line():
    cases = {
        "route=none": "unknown route none",
        "path=/none/x": "unknown route for path /none/x",
        "service=none": "unknown service none",
        "route=read&account=red": "unknown account 'red'; known: blue",
        "route=read": "unknown account ''; known: blue",
        "route=read&account=blue&block=x": "block must be ID:TOKENS, not 'x'",
        "route=read&account=blue&timeout_ms=-1": "timeout_ms must be a whole number",
        "route=read&colour=1": "unknown field colour; allowed: account",
        "": "name a path, a route or a service",
    }

    async def scenario():
        async with entry_fleet() as fleet:
            for query, message in cases.items():
                status, answer = await _get(fleet.hosts[0], f"/explain?{query}")
                assert status == 404
                assert answer["detail"].startswith(message)

    asyncio.run(scenario())


def test_the_command_prints_a_table_or_json(capsys, tmp_path):
    path = tmp_path / "request.json"
    fields = {"route": "talk", "account": "blue", "prompt_tokens": 9}
    path.write_text(json.dumps({**fields, "block": ["a:5", "b:4"]}))

    async def scenario():
        async with entry_fleet() as fleet:
            address, port = fleet.hosts[0].cfg.metrics_listen
            flags = ["explain", "--host", f"{address}:{port}", "--file", str(path)]
            assert await asyncio.to_thread(main, flags) == 0
            assert "granted: m1" in capsys.readouterr().out
            assert await asyncio.to_thread(main, [*flags, "--json"]) == 0
            answer = json.loads(capsys.readouterr().out)
            assert [row["target"] for row in answer["targets"]] == ["m1"]
            assert await asyncio.to_thread(main, [*flags, "--account", "red"]) == 1
            (line,) = capsys.readouterr().err.splitlines()
            assert line.endswith("can't explain: unknown account 'red'; known: blue")

    asyncio.run(scenario())
