"""The ledger actor: owns claim shards and commits claims in batches."""

import json
import uuid
from dataclasses import asdict, dataclass

from lovagepier.backing import Compare, Delete, Put, StoreError
from lovagepier.decisions.claims import Claim, Shard, Verdict
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.peers import messages

__all__ = ["Claimed", "LedgerActor", "Released", "Settled"]

OWNER_KEY = "lovagepier/ledger-owner/"
BATCH_KEY = "lovagepier/ledger/"
STEAL_PERIOD_S = 1.0
READ_BACKS = 3
CLEAN_PERIOD_S = 60.0
MAX_DELETES = 64


@dataclass(slots=True, frozen=True)
class Claimed:
    """A claim from an entry node."""

    body: messages.ClaimRequest
    reply: object


@dataclass(slots=True, frozen=True)
class Settled:
    """The outcome of a claim; `reply` is told once it is in the store."""

    body: messages.ClaimSettle
    reply: object


@dataclass(slots=True, frozen=True)
class Released:
    """A claim whose work was never dispatched; `reply` as for `Settled`."""

    body: messages.ClaimRelease
    reply: object


class _Owned:
    """One owned shard: its state machine, its fence and its stored batches."""

    __slots__ = ("batches", "fence", "replies", "shard", "written_at")

    def __init__(self, shard, fence):
        self.written_at = float("-inf")
        self.shard = shard
        self.fence = fence
        self.replies = {}
        self.batches = {}


class LedgerActor(NodeActor):
    """Blocks on the store between messages; what arrives meanwhile is batched.

    Ownership is a key written by compare-and-swap. Every batch is written
    on condition that the owner key is unchanged, so an owner that was
    paused or replaced can't write, whatever it believes.
    """

    part = "ledger"
    handlers = {
        Claimed: "on_claimed",
        Settled: "on_settled",
        Released: "on_released",
        Tick: "on_tick",
    }

    def __init__(self, node):
        super().__init__(node)
        self._owned = {}
        self._tried_at = {}
        self._cleaned_at = node.clock()
        self._name = f"{node.cfg.node_name}/{node.boot}"

    # Claims

    def on_claimed(self, message):
        """Answer a claim at once, or after the batch that carries it."""
        body = message.body
        owned = self._own(body.shard)
        if owned is None:
            message.reply(messages.ClaimResponse(Verdict.UNAVAILABLE))
            return
        now = self.node.wall()
        answer = owned.shard.claim(body.key, body.body, body.nonce, body.made_at, now)
        if answer is not None:
            message.reply(messages.ClaimResponse(answer.verdict, answer.outcome))
            return
        owned.replies[(body.key, body.nonce)] = message.reply

    def on_settled(self, message):
        """Store the first answer of a claim."""
        body = message.body
        shard = self._unless_over(message)
        if shard is not None:
            shard.settle(body.key, body.nonce, body.outcome)

    def on_released(self, message):
        """Give a claim back."""
        body = message.body
        shard = self._unless_over(message)
        if shard is not None:
            shard.release(body.key, body.nonce)

    def _unless_over(self, message):
        """Return the claim's shard, or None after confirming its final state."""
        body = message.body
        owned = self._own(body.shard)
        if owned is None:
            return None
        if owned.shard.is_over(body.key, body.nonce):
            message.reply(messages.ClaimResponse(Verdict.DONE))
            return None
        return owned.shard

    # Time

    def on_tick(self, _):
        """Write what is pending; let go of shards that moved elsewhere."""
        self.node.ledger_pending.clear()
        for number in list(self._owned):
            if self.node.roster.owns(f"ledger/{number}"):
                self._write(number)
            else:
                self._write(number)
                self._let_go(number, "another node is preferred now")
        if any(owned.shard.has_pending for owned in self._owned.values()):
            self.node.ledger_pending.set()
        self._clean()

    def _let_go(self, number, why):
        owned = self._owned.pop(number, None)
        if owned is None:
            return
        self._answer_all(owned)
        self.node.timeline.add("ledger", f"shard {number} let go", why=why)

    def _answer_all(self, owned):
        for answer in owned.shard.give_up_waiting():
            self._reply(owned, answer)
        for reply in owned.replies.values():
            reply(messages.ClaimResponse(Verdict.UNAVAILABLE))
        owned.replies.clear()

    def _reply(self, owned, answer):
        reply = owned.replies.pop((answer.key, answer.nonce), None)
        if reply is not None:
            reply(messages.ClaimResponse(answer.verdict, answer.outcome))

    # Ownership

    def _own(self, number):
        # Whatever is asked of a shard may leave it something to write.
        self.node.ledger_pending.set()
        owned = self._owned.get(number)
        if owned is not None:
            return owned
        now = self.node.clock()
        if not self.node.roster.owns(f"ledger/{number}"):
            return None
        if now - self._tried_at.get(number, float("-inf")) < STEAL_PERIOD_S:
            return None
        self._tried_at[number] = now
        try:
            return self._take(number)
        except StoreError as exc:
            self.log.warning("a shard can't be taken", shard=number, why=str(exc))
            return None

    def _take(self, number):
        key = f"{OWNER_KEY}{number}"
        found = self.node.store.get(key)
        revision = found.mod_revision if found else 0
        put = Put(key, self._name.encode())
        try:
            result = self.node.store.txn([Compare(key, "mod", revision)], [put])
            taken = result.succeeded
        except StoreError:
            taken = True
        if not taken:
            return None
        # Read back: settles a lost answer and gives the fence.
        now_there = self.node.store.get(key)
        if now_there is None or now_there.value != self._name.encode():
            return None
        owned = _Owned(Shard(self.node.cfg.ledger_horizon), now_there.mod_revision)
        self._restore(number, owned)
        self._owned[number] = owned
        before = found.value.decode() if found else "nobody"
        self.node.timeline.add(
            "ledger", f"shard {number} taken", why=f"{before} owned it before"
        )
        return owned

    def _restore(self, number, owned):
        stored = []
        for item in self.node.store.range(f"{BATCH_KEY}{number}/"):
            sequence = int(item.key.rpartition("/")[2])
            body = json.loads(item.value)
            claims = [Claim(**claim) for claim in body["claims"]]
            stored.append((sequence, claims))
            owned.batches[sequence] = max((c.at for c in claims), default=0.0)
        owned.shard.restore(stored)

    # Batches

    def _write(self, number):
        owned = self._owned[number]
        now = self.node.clock()
        if now - owned.written_at < self.node.cfg.ledger_batch_every:
            return
        batch = owned.shard.take_batch(uuid.uuid4().hex)
        if batch is None:
            return
        owned.written_at = now
        verdict = self._commit(number, owned, batch)
        if verdict == "written":
            owned.batches[batch.sequence] = max(c.at for c in batch.claims)
            for answer in owned.shard.written():
                self._reply(owned, answer)
        elif verdict == "fenced":
            self._let_go(number, "the owner key changed")
        else:
            # Unknown or refused: the claimants hear that nothing ran, and
            # the same batch is written again until its fate is known.
            for answer in owned.shard.give_up_waiting():
                self._reply(owned, answer)

    def _commit(self, number, owned, batch):
        key = f"{BATCH_KEY}{number}/{batch.sequence:012d}"
        body = {
            "nonce": batch.nonce,
            "claims": [_claim_fields(claim) for claim in batch.claims],
        }
        compares = [
            Compare(f"{OWNER_KEY}{number}", "mod", owned.fence),
            Compare(key, "create", 0),
        ]
        data = json.dumps(body, separators=(",", ":")).encode()
        try:
            result = self.node.store.txn(compares, [Put(key, data)])
            if result.succeeded:
                return "written"
        except StoreError:
            pass
        return self._read_back(number, owned, key, batch.nonce)

    def _read_back(self, number, owned, key, nonce):
        for _ in range(READ_BACKS):
            try:
                found = self.node.store.get(key)
                if found is not None:
                    ours = json.loads(found.value)["nonce"] == nonce
                    return "written" if ours else "fenced"
                owner = self.node.store.get(f"{OWNER_KEY}{number}")
            except StoreError:
                continue
            if owner is None or owner.mod_revision != owned.fence:
                return "fenced"
            return "unknown"
        return "unknown"

    def _clean(self):
        now = self.node.clock()
        if now - self._cleaned_at < CLEAN_PERIOD_S:
            return
        self._cleaned_at = now
        for number, owned in self._owned.items():
            wall = self.node.wall()
            aged = owned.shard.aged_batches(list(owned.batches.items()), wall)
            aged = aged[:MAX_DELETES]
            if not aged:
                continue
            deletes = [Delete(f"{BATCH_KEY}{number}/{n:012d}") for n in aged]
            fence = Compare(f"{OWNER_KEY}{number}", "mod", owned.fence)
            try:
                if self.node.store.txn([fence], deletes).succeeded:
                    for sequence in aged:
                        del owned.batches[sequence]
                    owned.shard.forget_aged(wall)
            except StoreError:
                return


def _claim_fields(claim):
    fields = asdict(claim)
    return {name: value for name, value in fields.items() if value not in (None, False)}
