"""Membership: deaths found, false reports refuted, nothing flaps."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.membership import (
    PROBE_PERIOD_S,
    Membership,
    Status,
    Update,
)

STEP_S = 0.05
DELAY_S = 0.02


class World:
    """Members with a network that loses, delays and cuts messages."""

    def __init__(self, size, seed, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.cut = set()
        self.down = set()
        self.messages = 0
        self.pending = []
        self.members = {}
        for number in range(size):
            self.start(f"n{number}", 1)

    def start(self, name, incarnation):
        rng = random.Random(f"{name}/{incarnation}")
        self.members[name] = Membership(name, {"zone": "a"}, incarnation, rng)
        self.down.discard(name)
        for other in list(self.members):
            if other != name and other not in self.down:
                everything = self.members[other].all_updates()
                self.members[name].apply(everything, self.now)
                self.members[other].apply(self.members[name].all_updates(), self.now)

    def _send(self, source, target, action):
        self.messages += 1
        gone = source in self.down or (source, target) in self.cut
        if not gone and self.rng.random() >= self.loss:
            self.pending.append((self.now + DELAY_S, target, action))

    def _probe(self, source, probe):
        receiver = probe.via or probe.target
        updates = self.members[source].updates()
        self._send(
            source,
            receiver,
            lambda: self._on_probe(source, receiver, probe, updates),
        )

    def _on_probe(self, origin, receiver, probe, updates):
        member = self.members[receiver]
        member.apply(updates, self.now)
        if probe.target != receiver:
            self._send(
                receiver,
                probe.target,
                lambda: self._on_probe(origin, probe.target, probe, updates),
            )
            return
        answers = member.updates()
        self._send(
            receiver, origin, lambda: self._on_ack(origin, probe.sequence, answers)
        )

    def _on_ack(self, origin, sequence, updates):
        self.members[origin].apply(updates, self.now)
        self.members[origin].on_ack(sequence, self.now)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            due = [item for item in self.pending if item[0] <= self.now]
            self.pending = [item for item in self.pending if item[0] > self.now]
            for _, target, action in due:
                if target not in self.down:
                    action()
            for name, member in self.members.items():
                if name not in self.down:
                    for probe in member.tick(self.now):
                        self._probe(name, probe)

    def views(self):
        return {n: m.live() for n, m in self.members.items() if n not in self.down}


@given(st.integers(0, 50), st.integers(3, 9))
def test_a_death_is_seen_by_all_and_nobody_else_is_buried(seed, size):
    world = World(size, seed)
    world.run(2)
    world.down.add("n0")
    world.run(12)
    expected = sorted(set(world.members) - {"n0"})
    assert all(view == expected for view in world.views().values())


@given(st.integers(0, 50))
def test_lost_messages_bury_nobody(seed):
    world = World(7, seed, loss=0.05)
    world.run(20)
    assert not any(m.is_dead(n) for m in world.members.values() for n in world.members)


@given(st.integers(0, 30))
def test_a_cut_between_two_does_not_bury_either(seed):
    world = World(6, seed)
    world.cut = {("n0", "n1"), ("n1", "n0")}
    world.run(20)
    assert not any(m.is_dead(n) for m in world.members.values() for n in world.members)


@given(st.integers(0, 30))
def test_a_frozen_node_comes_back(seed):
    world = World(5, seed)
    world.run(1)
    world.down.add("n0")
    world.run(10)
    world.down.discard("n0")
    world.members["n0"].apply(world.members["n1"].all_updates(), world.now)
    for other in ("n1", "n2", "n3", "n4"):
        world.members[other].apply(world.members["n0"].all_updates(), world.now)
    world.run(6)
    everyone = sorted(world.members)
    assert all(view == everyone for view in world.views().values())


def test_a_replaced_node_lives_under_its_new_incarnation():
    world = World(4, 1)
    world.down.add("n0")
    world.run(10)
    world.start("n0", 2)
    world.run(5)
    assert all("n0" in view for view in world.views().values())


def test_messages_a_node_do_not_grow_with_the_fleet():
    rates = []
    for size in (8, 64):
        world = World(size, 3)
        world.run(10)
        rates.append(world.messages / size / 10)
    assert rates[1] <= rates[0] * 1.1
    assert rates[1] <= 2.2 / PROBE_PERIOD_S


def test_updates_are_bounded():
    world = World(64, 3)
    assert all(len(m.updates()) <= 8 for m in world.members.values())


_UPDATES = st.lists(
    st.builds(
        Update,
        st.sampled_from(["a", "b", "me"]),
        st.integers(0, 5),
        st.sampled_from([Status.ALIVE, Status.SUSPECT, Status.LEAVING, Status.DEAD]),
        st.just({"zone": "a"}),
    ),
    max_size=20,
)


@given(_UPDATES, st.randoms(use_true_random=False))
def test_the_order_of_updates_does_not_matter(updates, rng):
    def final(order):
        member = Membership("me", {}, 1, random.Random(1))
        member.apply([Update(n, 0, Status.ALIVE, {"zone": "a"}) for n in "ab"], 0.0)
        member.apply(order, 0.0)
        return {
            m.name: (m.incarnation, m.status)
            for m in member.members()
            if m.name != "me"
        }

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert final(updates) == final(shuffled)


@given(_UPDATES)
def test_no_report_makes_a_node_leave_its_own_table(updates):
    member = Membership("me", {}, 1, random.Random(1))
    member.apply(updates, 0.0)
    assert "me" in member.live()
