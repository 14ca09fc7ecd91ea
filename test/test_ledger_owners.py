"""Owners of a ledger shard that are replaced, on a store in memory."""

import threading
from types import SimpleNamespace

import pytest

from lovagepier.backing import Delete, KeyValue, Put, Store, StoreError, TxnResult
from lovagepier.decisions.membership.claims import Verdict
from lovagepier.node._actors import Tick
from lovagepier.node._ledger import ClaimRequested, ClaimSettled, LedgerActor
from lovagepier.peers import messages

SHARD = 0
KEY = "mid/ledger/k1"
# Longer than the intervals in which an owner acquires, writes and checks.
STEP_S = 2.0


class MemoryStore(Store):
    """Keys in memory; with `is_down` each call fails."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.is_down = False

    def _check(self):
        if self.is_down:
            raise StoreError("down")

    def get(self, key):
        self._check()
        return self.items.get(key)

    def range(self, prefix, limit=0, newest_first=False):
        self._check()
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    def txn(self, compares, operations):
        self._check()
        for compare in compares:
            item = self.items.get(compare.key)
            field = f"{compare.revision_kind}_revision"
            if (getattr(item, field) if item else 0) != compare.revision:
                return TxnResult(False, self.revision)
        self.revision += 1
        for operation in operations:
            self._apply(operation)
        return TxnResult(True, self.revision)

    def _apply(self, operation):
        if isinstance(operation, Delete):
            self.items.pop(operation.key, None)
        elif isinstance(operation, Put):
            known = self.items.get(operation.key)
            created = known.create_revision if known else self.revision
            self.items[operation.key] = KeyValue(
                operation.key, operation.value, created, self.revision
            )


class LedgerNode:
    """One node's ledger actor, called on the test's thread."""

    def __init__(self, name, store, clock):
        self.is_owner = True
        node = SimpleNamespace(
            boot="b1",
            cfg=SimpleNamespace(
                node_name=name, ledger_horizon=3600.0, ledger_batch_every=0.0
            ),
            clock=lambda: clock[0],
            wall=lambda: clock[0],
            ledger_pending=threading.Event(),
            roster=SimpleNamespace(owns=lambda role: self.is_owner),
            store=store,
            timeline=SimpleNamespace(add=lambda *args, **fields: None),
        )
        self.actor = LedgerActor(node)

    def claim(self, nonce):
        """Claim the key; return the `ClaimResponse`."""
        answers = []
        body = messages.ClaimRequest(SHARD, KEY, "body", nonce, None)
        self.actor.on_receive(ClaimRequested(body, answers.append))
        self.tick()
        return answers[0]

    def settle(self, nonce, outcome):
        body = messages.ClaimSettle(SHARD, KEY, nonce, outcome)
        self.actor.on_receive(ClaimSettled(body, lambda answer: None))
        self.tick()

    def tick(self):
        self.actor.on_receive(Tick())


@pytest.fixture
def owners():
    """Two owners after one another; the first does not know of the second.

    A claim was granted at the first and settled at the second. The store and the
    clock, a list of one time, come after them.
    """
    store, clock = MemoryStore(), [1000.0]
    first, second = (LedgerNode(name, store, clock) for name in ("n0", "n1"))
    assert first.claim("a1").verdict == Verdict.GRANTED
    clock[0] += STEP_S
    assert second.claim("b1").verdict == Verdict.RUNNING
    second.settle("a1", {"status": 201})
    clock[0] += STEP_S
    return first, second, store, clock


def test_a_resumed_owner_does_not_keep_a_key_in_use_that_another_one_settled(owners):
    """It was suspended before it got to know the outcome."""
    first, _, _, clock = owners
    verdicts = []
    for number in range(4):
        response = first.claim(f"c{number}")
        verdicts.append(response.verdict)
        clock[0] += STEP_S
    assert verdicts[-1] == Verdict.DONE
    assert response.outcome == {"status": 201}
    assert Verdict.GRANTED not in verdicts


def test_an_owner_goes_on_while_the_store_is_down(owners):
    _, second, store, clock = owners
    store.is_down = True
    for number in range(3):
        clock[0] += STEP_S
        assert second.claim(f"d{number}").verdict == Verdict.DONE


def test_a_key_stays_in_use_while_its_call_runs():
    store, clock = MemoryStore(), [1000.0]
    owner = LedgerNode("n0", store, clock)
    assert owner.claim("a1").verdict == Verdict.GRANTED
    for number in range(4):
        clock[0] += STEP_S
        store.is_down = number == 3
        assert owner.claim(f"b{number}").verdict == Verdict.RUNNING
