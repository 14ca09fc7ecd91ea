"""A node's rollouts whose advance stops for want of capacity."""

import json
from types import SimpleNamespace

import cbor2
import pytest

from lovagepier.config import ConfigView
from lovagepier.config._schema import empty_document
from lovagepier.decisions.rollouts.slowness import Pace
from lovagepier.frames import CodecError, decode, encode
from lovagepier.node._members import PeerMessage
from lovagepier.node._outcome_judge import JudgedOutcome
from lovagepier.node._rollout_loads import RolloutLoads
from lovagepier.node._rollouts import OutcomeObserved, RolloutsActor
from lovagepier.operators import OperatorsApp
from lovagepier.peers import messages
from test.builders import ended, make_work

STEPS = ((0.0, 0.05), (0.2, 0.2), (0.4, 0.6), (0.6, 1.0))
RATE = 40.0
USUAL_S, SLOW_S = 0.1, 0.4


class Pools:
    """Pools as a node publishes them: v1 on four targets, v2 on two."""

    def __init__(self):
        self.granted = 0

    def statuses(self):
        targets = [("v1", f"old{n}") for n in range(4)]
        targets += [("v2", f"new{n}") for n in range(2)]
        rows = [
            {"version": version, "name": name, "leaving": False, "down": False}
            for version, name in targets
        ]
        return [
            {
                "subject": "drafter",
                "region": "west",
                "counts": {"granted": self.granted},
                "targets": rows,
            }
        ]


def make_view():
    document = empty_document()
    document["zones"] = {"a1": {"region": "west"}}
    document["models"] = {"drafter": {"serving": "v1"}}
    names = {f"old{n}": "v1" for n in range(4)} | {f"new{n}": "v2" for n in range(2)}
    document["targets"] = {
        name: {
            "kind": "engine",
            "address": "http://127.0.0.1:1",
            "zone": "a1",
            "model": "drafter",
            "version": version,
        }
        for name, version in names.items()
    }
    document["moves"] = {
        "m": {
            "model": "drafter",
            "to": "v2",
            "start": 100.0,
            "finish_by": 200.0,
            "steps": [list(step) for step in STEPS],
        }
    }
    return ConfigView(1, document)


class Host:
    """A `RolloutsActor` that is not started, with a node that records what it does."""

    def __init__(self, name="n1"):
        self.now = 100.0
        self.events = []
        self.sent = []
        self.counted = []
        self.patches = []
        self.state = None
        self.shares = {}
        self.pools = Pools()
        self.node = SimpleNamespace(
            cfg=SimpleNamespace(node_name=name),
            boot="x",
            view=make_view(),
            pools=self.pools,
            clock=lambda: self.now,
            wall=lambda: self.now,
            uptime=lambda: self.now,
            set_shares=self.shares.update,
            set_rollout_state=self._set_state,
            timeline=SimpleNamespace(add=self._add_event),
            metrics=SimpleNamespace(count=self.counted.append),
            roster=SimpleNamespace(
                live=["n1", "n2"],
                owns=lambda role: True,
                owner=lambda role: "n2",
                ranked_nodes=lambda role, region: ["n1", "n2"],
            ),
            tell=lambda to, body: self.sent.append(body),
            submit_patch=lambda operations, *rest: self.patches.append(operations),
        )
        self.actor = RolloutsActor(self.node)
        self._number = 0

    def _set_state(self, name, stage, share, cause):
        self.state = (stage, share, cause)

    def _add_event(self, part, event, why="", **facts):
        self.events.append((event, why))

    def tick_until(self, until):
        while self.now < until:
            self.now = round(self.now + 0.1, 3)
            self.pools.granted += round(RATE / 10)
            self.actor.on_tick(None)

    def observe(self, version, seconds, count, status="ok"):
        kind, targets = ("old", 4) if version == "v1" else ("new", 2)
        for _ in range(count):
            self._number += 1
            work = make_work(f"r{self._number}", route="note")
            target = f"{kind}{self._number % targets}"
            outcome = ended(
                work, target, status, first_seconds=None, total_seconds=seconds
            )
            outcome.decode_tokens = 1
            message = OutcomeObserved("drafter", version, work, outcome)
            self.actor.on_outcome_observed(message)

    def run_to_the_last_step(self):
        """Compare both versions, then send all traffic to the new one's targets."""
        for second in range(62):
            self.tick_until(101.0 + second)
            self.observe("v1", USUAL_S, 20 if second < 58 else 0)
            self.observe("v2", USUAL_S, 4)
        assert self.state == ("watching", 1.0, None)

    def event_names(self):
        return [event for event, _ in self.events]


def updates_on_the_wire(host, number):
    """Return what a host has sent to its peers as they read it in a format."""
    sent = [each for each in host.sent if isinstance(each, messages.EvidenceUpdate)]
    return [decode(encode(each, number=number)).message for each in sent]


def test_slowness_past_the_compared_load_holds_and_is_shown():
    host = Host()
    host.run_to_the_last_step()
    host.observe("v2", SLOW_S, 200)
    host.tick_until(170.0)
    stage, share, cause = host.state
    assert (stage, share) == ("held", 1.0)
    assert "held for capacity: slow at 20.0 requests/s a target" in cause
    assert "compared up to 9.9" in cause
    assert "0.4000 s, bar 0.1300 s" in cause
    assert len(cause) < 300
    assert host.event_names().count("held for capacity") == 1
    assert host.counted == ["rollout_capacity_holds"]
    assert "brake set" not in host.event_names()
    host.tick_until(199.9)
    assert host.state[0] == "held" and not host.patches
    host.tick_until(201.0)
    host.actor._recorder.shutdown()
    assert host.state[0] == "done"
    (_, serving, cause), *_ = host.patches
    assert serving["value"] == "v2"
    assert cause["path"] == "/moves/m/cause" and "compared up to" in cause["value"]


def test_the_hold_ends_as_slowness_ends():
    host = Host()
    host.run_to_the_last_step()
    host.observe("v2", SLOW_S, 200)
    assert host.state[0] == "held"
    host.observe("v2", USUAL_S, 100)
    assert host.state == ("watching", 1.0, None)
    assert host.events.count(("no longer held", "outcomes are usual again")) == 1
    host.tick_until(180.0)
    assert host.state[0] == "done"


def test_the_hold_ends_as_the_load_falls():
    host = Host()
    host.run_to_the_last_step()
    host.observe("v2", SLOW_S, 200)
    assert host.state[0] == "held"
    for _ in range(100):
        host.now = round(host.now + 0.1, 3)
        host.pools.granted += 1
        host.actor.on_tick(None)
    host.observe("v2", USUAL_S, 100)
    assert host.state[0] == "watching"


def test_slowness_at_a_compared_load_rolls_back_after_the_last_step():
    """Half of the traffic is gone, so that the targets have the old ones' load."""
    host = Host()
    host.run_to_the_last_step()
    for _ in range(100):
        host.now = round(host.now + 0.1, 3)
        host.pools.granted += 2
        host.actor.on_tick(None)
    host.observe("v2", SLOW_S, 40)
    for _ in range(100):
        host.now = round(host.now + 0.1, 3)
        host.pools.granted += 2
        host.actor.on_tick(None)
        host.observe("v1", USUAL_S, 2)
        host.observe("v2", SLOW_S, 2)
    assert host.state[:2] == ("taken-back", 0.0)
    assert "slowness" in host.state[2]


def test_failures_past_the_compared_load_roll_back():
    host = Host()
    host.run_to_the_last_step()
    host.observe("v2", SLOW_S, 30)
    assert host.state[0] == "held"
    host.observe("v2", SLOW_S, 12, status="failed")
    host.tick_until(165.0)
    assert host.state[:2] == ("taken-back", 0.0)
    assert "failures" in host.state[2]


def test_a_successor_goes_on_with_the_hold():
    """The node that decided is stopped; its evidence has reached the other one."""
    host, successor = Host(), Host("n2")
    host.run_to_the_last_step()
    host.observe("v2", SLOW_S, 60)
    host.tick_until(host.now + 3.0)
    successor.now = host.now
    successor.actor.on_tick(None)
    for update in updates_on_the_wire(host, 6):
        successor.actor.on_peer_message(PeerMessage(update, None))
    successor.tick_until(successor.now + 1.0)
    assert successor.state[:2] == ("held", 1.0)
    assert "slow at 20.0 requests/s a target" in successor.state[2]
    assert "0.4000 s, bar 0.1300 s" in successor.state[2]
    successor.observe("v2", USUAL_S, 100)
    assert successor.state[0] == "watching"


def test_a_successor_stays_at_the_step_of_the_hold():
    host = Host()
    host.actor.on_tick(None)
    rows = [["m#0", "v2", "note", "n1/x", 300, 0, 0]]
    loads = [["m#0", "v2", "note", "n1/x", 9, 20_000, 10_000, 600, 400_000, 130_000]]
    host.actor.on_peer_message(PeerMessage(messages.EvidenceUpdate(rows, loads), None))
    host.tick_until(180.0)
    assert host.state[:2] == ("held", 0.6)
    host.tick_until(260.0)
    assert host.state[:2] == ("held", 0.6)


def test_an_older_build_reads_the_counts_alone():
    host, older = Host(), Host("n2")
    host.run_to_the_last_step()
    host.observe("v2", SLOW_S, 60)
    host.tick_until(host.now + 3.0)
    sent = [each for each in host.sent if isinstance(each, messages.EvidenceUpdate)]
    assert all(len(cbor2.loads(encode(each, number=5))) == 4 for each in sent)
    older.now = host.now
    older.actor.on_tick(None)
    for update in updates_on_the_wire(host, 5):
        older.actor.on_peer_message(PeerMessage(update, None))
    older.tick_until(older.now + 0.2)
    assert older.actor._evidence.loads() == {}
    assert older.actor._evidence.total("m#0", "v2").slow == 0
    assert older.state[0] == "watching"


def test_slow_outcomes_of_an_older_build_count_at_any_load():
    host = Host()
    host.run_to_the_last_step()
    rows = [["m#0", "v2", "note", "n2/x", 40, 0, 40]]
    host.observe("v1", USUAL_S, 20)
    for seen in range(1, 41):
        update = messages.EvidenceUpdate([[*rows[0][:4], seen, 0, seen]])
        frame = decode(encode(update, number=5))
        host.actor.on_peer_message(PeerMessage(frame.message, None))
        host.observe("v1", USUAL_S, 1)
        host.tick_until(host.now + 0.1)
    assert host.state[0] == "taken-back"


@pytest.mark.parametrize(
    "row",
    [
        ["m#0", "v2", "note", "n1/x", 9, 1, 1],
        ["m#0", "v2", "note", "n1/x", 9, 1, 1, 1, 1, "x"],
        ["m#0", "v2", "note", "n1/x", 9, 1, 1, 1, 1, 0.5],
    ],
)
def test_loads_of_another_shape_are_refused(row):
    with pytest.raises(CodecError):
        decode(encode(messages.EvidenceUpdate([], [row])))


@pytest.mark.parametrize("reports", [("moving", "held"), ("held", "moving")])
def test_operators_are_shown_the_hold_that_any_node_reports(reports):
    states = {
        "moving": {"state": "moving", "share": 0.6, "cause": None},
        "held": {"state": "held", "share": 0.6, "cause": "held for capacity: x"},
        "back": {"state": "taken-back", "share": 0.0, "cause": "failures"},
    }
    app = OperatorsApp(SimpleNamespace(view=make_view()))

    def shown(names):
        app._statuses = lambda: [{"moves": {"m": states[name]}} for name in names]
        (move,) = json.loads(app._rollouts().body)["moves"]
        return move["state"], move["cause"]

    assert shown(reports) == ("held", "held for capacity: x")
    assert shown((*reports, "back")) == ("taken-back", "failures")
    assert shown(("back", *reports)) == ("taken-back", "failures")


def test_the_old_versions_load_has_what_a_pool_without_the_new_one_serves():
    host = Host()
    status = host.pools.statuses()[0]
    status["targets"] = status["targets"][:4]
    host.pools.statuses = lambda: [
        {**status, "counts": {"granted": host.pools.granted}}
    ]
    loads = RolloutLoads(host.node)
    for tenth in range(100):
        host.pools.granted += 4
        loads.update({"drafter": ("v1", {"v2": 0.5})}, tenth / 10)
    assert loads.highest("drafter", "old0", "v1", 9.9) == pytest.approx(RATE / 4)


def test_the_times_of_an_outcome_are_those_furthest_above_their_bar():
    excess = {"first": [0.5, 0.4], "pace": [0.00002, 0.0]}
    assert JudgedOutcome(Pace.STRAINED, excess=excess).times() == [0.00002, 0.0]
    assert JudgedOutcome(Pace.STRAINED).times() == [0.0, 0.0]


def record_patches(host):
    """Return a list that gets (recorded state, base version) of each patch."""
    recorded = []

    def submit(operations, base, patch_id, author):
        recorded.append((operations[0]["value"], base))

    host.node.submit_patch = submit
    return recorded


# A node that was suspended near the end recorded "done" over its peers' rollback.
def test_a_node_that_was_suspended_hears_its_peers_before_it_records_an_end():
    host = Host()
    recorded = record_patches(host)
    host.run_to_the_last_step()
    host.tick_until(170.0)
    host.now += 8.0
    host.tick_until(host.now + 1.0)
    assert host.state[0] == "done"
    notice = messages.RollbackNotice("m", 0, "failures")
    host.actor.on_peer_message(SimpleNamespace(body=notice))
    host.tick_until(host.now + 3.0)
    host.actor._recorder.shutdown()
    assert {state for state, _ in recorded} == {"taken-back"}


# The outcome of a rollout was written whatever had been recorded since.
def test_the_outcome_is_for_the_version_that_shows_the_rollout_as_open():
    host = Host()
    recorded = record_patches(host)
    host.run_to_the_last_step()
    host.tick_until(201.0)
    host.actor._recorder.shutdown()
    assert set(recorded) == {("done", 1)}
