"""Tests of membership: dead nodes found, false suspicions refuted, no flapping."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.membership.membership import (
    PROBE_PERIOD_S,
    Membership,
    Status,
    Update,
)

STEP_S = 0.05
DELAY_S = 0.02


class SimulatedCluster:
    """Members on a simulated network that loses, delays and cuts messages.

    Messages between the pairs in `cut`, and to or from nodes in `down`, are lost.
    """

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
                updates_of_other = self.members[other].all_updates()
                self.members[name].apply(updates_of_other, self.now)
                self.members[other].apply(self.members[name].all_updates(), self.now)

    def _send(self, source, target, action):
        self.messages += 1
        is_lost = source in self.down or (source, target) in self.cut
        if not is_lost and self.rng.random() >= self.loss:
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
def test_all_members_find_a_dead_node_and_no_other(seed, size):
    cluster = SimulatedCluster(size, seed)
    cluster.run(2)
    cluster.down.add("n0")
    cluster.run(12)
    expected = sorted(set(cluster.members) - {"n0"})
    assert all(view == expected for view in cluster.views().values())


@given(st.integers(0, 50))
def test_lost_messages_make_no_member_dead(seed):
    cluster = SimulatedCluster(7, seed, loss=0.05)
    cluster.run(20)
    assert not any(
        m.is_dead(n) for m in cluster.members.values() for n in cluster.members
    )


@given(st.integers(0, 30))
def test_a_cut_between_two_nodes_makes_neither_dead(seed):
    cluster = SimulatedCluster(6, seed)
    cluster.cut = {("n0", "n1"), ("n1", "n0")}
    cluster.run(20)
    assert not any(
        m.is_dead(n) for m in cluster.members.values() for n in cluster.members
    )


@given(st.integers(0, 30))
def test_a_node_that_was_frozen_is_live_again(seed):
    cluster = SimulatedCluster(5, seed)
    cluster.run(1)
    cluster.down.add("n0")
    cluster.run(10)
    cluster.down.discard("n0")
    cluster.members["n0"].apply(cluster.members["n1"].all_updates(), cluster.now)
    for other in ("n1", "n2", "n3", "n4"):
        cluster.members[other].apply(cluster.members["n0"].all_updates(), cluster.now)
    cluster.run(6)
    everyone = sorted(cluster.members)
    assert all(view == everyone for view in cluster.views().values())


def test_a_restarted_node_is_live_under_its_new_incarnation():
    cluster = SimulatedCluster(4, 1)
    cluster.down.add("n0")
    cluster.run(10)
    cluster.start("n0", 2)
    cluster.run(5)
    assert all("n0" in view for view in cluster.views().values())


def test_messages_per_node_do_not_grow_with_the_number_of_nodes():
    rates = []
    for size in (8, 64):
        cluster = SimulatedCluster(size, 3)
        cluster.run(10)
        rates.append(cluster.messages / size / 10)
    assert rates[1] <= rates[0] * 1.1
    assert rates[1] <= 2.2 / PROBE_PERIOD_S


def test_the_number_of_updates_per_message_is_bounded():
    cluster = SimulatedCluster(64, 3)
    assert all(len(m.updates()) <= 8 for m in cluster.members.values())


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
def test_no_update_removes_a_node_from_its_own_table(updates):
    member = Membership("me", {}, 1, random.Random(1))
    member.apply(updates, 0.0)
    assert "me" in member.live()
