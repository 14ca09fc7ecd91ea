"""Tests of the claim ledger: at most one grant per key, whatever the store answers."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagepier.decisions.membership.claims import Claim, Shard, Verdict

KEYS = ("k1", "k2", "k3")


class Store:
    """The stored batches of one shard and the fencing number of its current owner."""

    def __init__(self):
        self.batches = {}
        self.fence = 0

    def take(self):
        """Change the owner; return the new owner's fencing number."""
        self.fence += 1
        return self.fence

    def write(self, fence, batch):
        """Write a batch; return whether it was written.

        Refuses an old fencing number, and a sequence that is already stored.
        """
        if fence != self.fence or batch.sequence in self.batches:
            return False
        claims = [
            Claim(c.key, c.body, c.nonce, c.at, c.outcome, c.released)
            for c in batch.claims
        ]
        self.batches[batch.sequence] = (batch.nonce, claims)
        return True


class LedgerMachine(RuleBasedStateMachine):
    """Two nodes that both may act as owner, lost answers and repeated claims.

    `runs` records which claimants ran a key. No key may be run by two claimants, and
    an attempt that was answered as not run must never run.
    """

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.owners = []
        self.nonces = 0
        self.open = {}
        self.runs = {}
        self.answered_not_run = set()
        self._new_owner()

    def _new_owner(self):
        shard = Shard(1000.0)
        fence = self.store.take()
        shard.restore([(n, claims) for n, (_, claims) in self.store.batches.items()])
        self.owners.append((shard, fence))
        self.owners = self.owners[-2:]

    def _owner(self, old):
        return self.owners[0] if old else self.owners[-1]

    def _on_answer(self, answer):
        nonce = answer.nonce
        self.open.pop(nonce, None)
        if answer.verdict == Verdict.GRANTED:
            assert nonce not in self.answered_not_run
            self.runs.setdefault(answer.key, []).append(nonce)
        elif answer.verdict == Verdict.UNAVAILABLE:
            self.answered_not_run.add(nonce)

    @rule(key=st.sampled_from(KEYS), old=st.booleans(), body=st.sampled_from("xy"))
    def claim(self, key, old, body):
        self.nonces += 1
        nonce = f"n{self.nonces}"
        shard, _ = self._owner(old)
        answer = shard.claim(key, body, nonce, None, 1.0)
        if answer is None:
            self.open[nonce] = key
        else:
            self._on_answer(answer)

    @rule(old=st.booleans(), fate=st.sampled_from(["ok", "lost", "down"]))
    def write(self, old, fate):
        owner = self._owner(old)
        shard, fence = owner
        batch = shard.take_batch(f"b{self.nonces}-{len(self.store.batches)}")
        if batch is None:
            return
        if fate == "down":
            for answer in shard.fail_waiting():
                self._on_answer(answer)
            return
        stored_batch = self.store.batches.get(batch.sequence)
        written = self.store.write(fence, batch)
        is_ours = written or (
            stored_batch is not None and stored_batch[0] == batch.nonce
        )
        if fate == "lost" and written:
            # The store's answer is lost; the same batch is found written later.
            for answer in shard.fail_waiting():
                self._on_answer(answer)
            return
        if is_ours:
            for answer in shard.written():
                self._on_answer(answer)
        else:
            for answer in shard.fail_waiting():
                self._on_answer(answer)
            self.owners = [o for o in self.owners if o is not owner]
            if not self.owners:
                self._new_owner()

    @rule(data=st.data())
    def settle(self, data):
        ran = sorted(self.runs)
        if not ran:
            return
        key = data.draw(st.sampled_from(ran))
        shard, _ = self._owner(False)
        shard.settle(key, self.runs[key][0], {"status": 201, "by": self.runs[key][0]})

    @rule()
    def owner_changes(self):
        self._new_owner()

    @rule(key=st.sampled_from(KEYS))
    def a_settled_key_gives_the_first_answer(self, key):
        shard, _ = self._owner(False)
        answer = shard.claim(key, "x", "reader", None, 1.0)
        if answer is not None and answer.verdict == Verdict.DONE:
            assert answer.outcome["by"] == self.runs[key][0]
        if answer is None:
            for each in shard.fail_waiting():
                self._on_answer(each)

    @invariant()
    def no_key_runs_twice(self):
        for key, nonces in self.runs.items():
            assert len(nonces) == 1, (key, nonces)

    @invariant()
    def what_runs_is_in_the_store(self):
        stored = {
            (claim.key, claim.nonce)
            for _, claims in self.store.batches.values()
            for claim in claims
        }
        for key, nonces in self.runs.items():
            assert (key, nonces[0]) in stored


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(max_examples=150, stateful_step_count=30)


def test_a_key_created_before_the_horizon_is_refused():
    shard = Shard(100.0)
    answer = shard.claim("k", "x", "n", made_at=10.0, now=200.0)
    assert answer.verdict == Verdict.EXPIRED


def test_claims_are_dropped_from_memory_after_twice_the_horizon():
    shard = Shard(100.0)
    shard.restore([(0, [Claim("k", "x", "n", 10.0)])])
    shard.drop_expired(209.0)
    assert shard.size == 1
    shard.drop_expired(211.0)
    assert shard.size == 0


def test_one_batch_contains_many_claims():
    shard = Shard(100.0)
    for number in range(50):
        assert shard.claim(f"k{number}", "x", f"n{number}", None, 1.0) is None
    shard.take_batch("b")
    assert len(shard.written()) == 50
