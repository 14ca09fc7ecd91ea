"""Views of several hosts while the store comes back from older copies, at random."""

import json
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagepier.entry._store.view import LAPSE_GRACE_S, StoreView
from lovagepier.platform import Event, Item, make_revision, number_of
from test.entry_builders import config

HOSTS = 3
TARGETS = ("w1", "w2", "w3")
STEP_S = 0.1
hosts = st.integers(0, HOSTS - 1)
targets = st.sampled_from(TARGETS)


@dataclass
class _Entry:
    value: dict
    number: int
    created: int


class _Store:
    """The platform's store with eras; `history` holds (number, key, entry or None)."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.entries = {}
        self.history = []
        self.began = 0
        self.copies = []

    def write(self, key, value):
        self._copy()
        self.number += 1
        known = self.entries.get(key)
        created = known.created if known else self.number
        self.entries[key] = _Entry(value, self.number, created)
        self.history.append((self.number, key, self.entries[key]))

    def remove(self, key):
        if key in self.entries:
            self._copy()
            del self.entries[key]
            self.number += 1
            self.history.append((self.number, key, None))

    def _copy(self):
        self.copies.append((dict(self.entries), self.number))

    def restore(self, changes):
        """Return to the copy made before the last `changes` changes."""
        del self.copies[len(self.copies) + 1 - changes :]
        entries, self.number = self.copies.pop()
        self.entries = dict(entries)
        self.history = []
        self.began = self.number
        self.era += 1

    def _item(self, key, entry):
        return Item(
            key,
            json.dumps(entry.value).encode(),
            make_revision(self.era, entry.number),
            make_revision(self.era, entry.created),
        )

    def scan(self):
        items = [self._item(key, entry) for key, entry in self.entries.items()]
        return items, make_revision(self.era, self.number)

    def watch(self, after):
        """Return (events, revision), or None if the store lacks that history."""
        number = number_of(after)
        if after != make_revision(self.era, number):
            return None
        if not self.began <= number <= self.number:
            return None
        events = [
            Event(
                key,
                make_revision(self.era, changed),
                self._item(key, entry) if entry else None,
            )
            for changed, key, entry in self.history
            if changed > number
        ]
        return events, make_revision(self.era, self.number)


class _Host:
    """A view of the store, and what it must not go back on.

    `seen` and `left` are the (target, start time) pairs that it knew, and that it knew
    to have left. It does not know that of those that only lapsed.
    """

    def __init__(self):
        self.view = StoreView()
        self.version = 0
        self.seen = set()
        self.left = set()
        self.lapsed = set()


class StoreEras(RuleBasedStateMachine):
    """The operator and targets write, hosts read, and the store is restored."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = _Store()
        self.hosts = [_Host() for _ in range(HOSTS)]
        self.version = 0
        self.answers = []
        # Targets: their start time and state, None if they are gone.
        self.targets = dict.fromkeys(TARGETS, (1, "ready"))
        for name in TARGETS:
            self._write_target(name)
        self.change_configuration(1)

    def _tick(self):
        self.now += STEP_S
        return self.now

    def _write_target(self, name):
        born, state = self.targets[name]
        if state is None:
            self.store.remove(f"servers/{name}")
            return
        value = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "a1",
            "version": "v1",
            "slots": 4,
            "state": state,
            "born": born,
        }
        known = self.store.entries.get(f"servers/{name}")
        if known is None or known.value != value:
            self.store.write(f"servers/{name}", value)

    # Writers

    @rule(step=st.integers(1, 3))
    def change_configuration(self, step):
        self.version += step
        self.store.write("op/config", config(self.version))

    @rule(name=targets)
    def leave(self, name):
        born, state = self.targets[name]
        self.targets[name] = (born, "draining" if state == "ready" else None)
        self._write_target(name)

    @rule(name=targets)
    def start_again(self, name):
        born, state = self.targets[name]
        if state is None:
            self.targets[name] = (born + 1, "ready")
            self._write_target(name)

    @rule(name=targets)
    def write_target_again(self, name):
        self._write_target(name)

    @rule()
    def write_configuration_again(self):
        if self.store.entries.get("op/config", _Entry({}, 0, 0)).value != config(
            self.version
        ):
            self.store.write("op/config", config(self.version))

    @rule(changes=st.integers(1, 6))
    def restore(self, changes):
        if self.store.copies:
            self.store.restore(min(changes, len(self.store.copies)))

    # Hosts

    @rule(number=hosts)
    def read(self, number):
        view = self.hosts[number].view
        answer = self.store.watch(view.as_of) if view.as_of else None
        if answer is None:
            view.on_scan(*self.store.scan(), self._tick())
        else:
            view.on_events(*answer, self._tick())

    @rule()
    def read_all(self):
        for number in range(HOSTS):
            self.read(number)

    @rule()
    def delay_answer(self):
        self.answers.append(self.store.scan())

    @rule(number=hosts)
    def deliver_delayed_answer(self, number):
        if self.answers:
            self.hosts[number].view.on_scan(*self.answers.pop(0), self._tick())

    @rule(number=hosts, peer=hosts)
    def learn_from_peer(self, number, peer):
        source = self.hosts[peer].view
        items = list(source.items.values())
        self.hosts[number].view.on_snapshot(items, source.as_of, self._tick())

    @rule(number=hosts)
    def restart(self, number):
        self.hosts[number] = _Host()

    @rule()
    def wait(self):
        self.now += LAPSE_GRACE_S
        for host in self.hosts:
            host.view.expire_lapsed(self.now)

    # Checks

    @invariant()
    def versions_do_not_go_back(self):
        for host in self.hosts:
            assert host.view.version >= host.version
            host.version = host.view.version

    @invariant()
    def targets_that_left_do_not_come_back(self):
        for host in self.hosts:
            for name in TARGETS:
                target = host.view.target(name)
                born, state = self.targets[name]
                if target is not None:
                    host.seen.add((name, target.started_at_ms))
                if target is not None and target.draining:
                    host.left.add((name, target.started_at_ms))
                if f"servers/{name}" in host.view._lapsed:
                    host.lapsed.add(name)
                is_gone = target is None and state is None
                if is_gone and (name, born) in host.seen and name not in host.lapsed:
                    host.left.add((name, born))
                if target is not None and (name, target.started_at_ms) in host.left:
                    assert target.draining

    def teardown(self):
        self.write_configuration_again()
        for name in TARGETS:
            self._write_target(name)
        self.store.write("other", {})
        for number in range(HOSTS):
            self.read(number)
            self.read(number)
        self.wait()
        usable = {name for name, (_, state) in self.targets.items() if state == "ready"}
        for host in self.hosts:
            view = host.view
            assert view.version == self.version
            known = {t.id for t in view.targets.values() if not t.draining}
            assert known == usable


TestStoreEras = StoreEras.TestCase
TestStoreEras.settings = settings(max_examples=300, stateful_step_count=40)
