"""The ledger actor: owns shards of idempotency claims and commits them in batches."""

import json
import uuid
from dataclasses import asdict, dataclass

from lovagepier.backing import Compare, Delete, Put, StoreError
from lovagepier.decisions.membership.claims import Claim, ClaimAnswer, Shard, Verdict
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.peers import messages

__all__ = ["ClaimReleased", "ClaimRequested", "ClaimSettled", "LedgerActor"]

OWNER_KEY_PREFIX = "lovagepier/ledger-owner/"
BATCH_KEY_PREFIX = "lovagepier/ledger/"
ACQUIRE_RETRY_S = 1.0
# How long an owner answers that a key is in use before it checks that it still is the
# owner. Writes check that, but such an answer writes nothing.
OWNER_CHECK_S = 1.0
MAX_READ_BACKS = 3
CLEANUP_PERIOD_S = 60.0
MAX_DELETES_PER_TXN = 64


@dataclass(slots=True, frozen=True)
class ClaimRequested:
    """A claim request from an entry host; `reply` takes a `ClaimResponse`."""

    body: messages.ClaimRequest
    reply: object


@dataclass(slots=True, frozen=True)
class ClaimSettled:
    """The outcome of a claim.

    `reply` is called if the final state is in the store already; the sender
    repeats the message until then.
    """

    body: messages.ClaimSettle
    reply: object


@dataclass(slots=True, frozen=True)
class ClaimReleased:
    """A claim whose request was never dispatched; `reply` as for `ClaimSettled`."""

    body: messages.ClaimRelease
    reply: object


class _OwnedShard:
    """One owned shard.

    `fence` is the store revision of the owner key, which every write checks;
    `batches` maps the sequence numbers of stored batches to the time of their
    newest claim; `replies` holds the reply functions of claims in progress by
    (key, nonce). At `checked_at` the store had the owner key as at `fence`.
    """

    __slots__ = (
        "batches",
        "checked_at",
        "fence",
        "last_write_at",
        "replies",
        "shard",
    )

    def __init__(self, shard, fence, checked_at):
        self.checked_at = checked_at
        self.last_write_at = float("-inf")
        self.shard = shard
        self.fence = fence
        self.replies = {}
        self.batches = {}


class LedgerActor(NodeActor):
    """Grants and completes claims of the shards that this node owns.

    The actor blocks while it writes to the store; the claims that arrive
    meanwhile form the next batch. A shard's owner is a store key written by
    compare-and-swap. Every batch is written on condition that this key is
    unchanged, so an owner that was suspended or replaced can't write, even if
    it still believes to be the owner.
    """

    component = "ledger"
    handlers = {
        ClaimRequested: "on_claim_requested",
        ClaimSettled: "on_claim_settled",
        ClaimReleased: "on_claim_released",
        Tick: "on_tick",
    }

    def __init__(self, node):
        super().__init__(node)
        self._owned = {}
        self._last_attempt_at = {}
        self._last_cleanup_at = node.clock()
        self._name = f"{node.cfg.node_name}/{node.boot}"

    # Claims

    def on_claim_requested(self, message):
        """Answer a claim at once if its state is known, else after its batch."""
        body = message.body
        owned = self._ensure_owned(body.shard)
        if owned is None:
            message.reply(messages.ClaimResponse(Verdict.UNAVAILABLE))
            return
        now = self.node.wall()
        answer = owned.shard.claim(
            body.key, body.body_hash, body.nonce, body.key_created_at, now
        )
        if answer is not None and answer.verdict == Verdict.RUNNING:
            answer = self._check_running(body.shard, owned, answer)
        if answer is not None:
            message.reply(messages.ClaimResponse(answer.verdict, answer.outcome))
            return
        owned.replies[(body.key, body.nonce)] = message.reply

    def _check_running(self, number, owned, answer):
        """Return `answer`, that a key is in use, or UNAVAILABLE if that may be over.

        An owner that was suspended may not know of another one that has settled it.
        """
        now = self.node.clock()
        if now - owned.checked_at < OWNER_CHECK_S:
            return answer
        try:
            current = self.node.store.get(f"{OWNER_KEY_PREFIX}{number}")
        except StoreError as exc:
            self.log.warning("failed to check an owner", shard=number, why=str(exc))
            return answer
        owned.checked_at = now
        if current is not None and current.mod_revision == owned.fence:
            return answer
        self._give_up_shard(number, "the owner key changed")
        return ClaimAnswer(answer.key, answer.nonce, Verdict.UNAVAILABLE)

    def on_claim_settled(self, message):
        """Record the outcome of a claim, or confirm that its final state is stored."""
        body = message.body
        shard = self._shard_unless_final(message)
        if shard is not None:
            shard.settle(body.key, body.nonce, body.outcome)

    def on_claim_released(self, message):
        """Release a claim, or confirm that its final state is stored."""
        body = message.body
        shard = self._shard_unless_final(message)
        if shard is not None:
            shard.release(body.key, body.nonce)

    def _shard_unless_final(self, message):
        """Return the claim's shard if this node owns it and the claim is open.

        If the claim's final state is stored already, confirm it and return None.
        """
        body = message.body
        owned = self._ensure_owned(body.shard)
        if owned is None:
            return None
        if owned.shard.is_settled(body.key, body.nonce):
            message.reply(messages.ClaimResponse(Verdict.DONE))
            return None
        return owned.shard

    # Time

    def on_tick(self, _):
        """Write pending batches; give up shards that another node should own."""
        self.node.ledger_pending.clear()
        for number in list(self._owned):
            if self.node.roster.owns(f"ledger/{number}"):
                self._write(number)
            else:
                self._write(number)
                self._give_up_shard(number, "another node is preferred now")
        if any(owned.shard.has_pending for owned in self._owned.values()):
            self.node.ledger_pending.set()
        self._clean_up()

    def _give_up_shard(self, number, why):
        owned = self._owned.pop(number, None)
        if owned is None:
            return
        self._fail_waiting(owned)
        self.node.timeline.add("ledger", f"shard {number} let go", why=why)

    def _fail_waiting(self, owned):
        for answer in owned.shard.fail_waiting():
            self._reply(owned, answer)
        for reply in owned.replies.values():
            reply(messages.ClaimResponse(Verdict.UNAVAILABLE))
        owned.replies.clear()

    def _reply(self, owned, answer):
        reply = owned.replies.pop((answer.key, answer.nonce), None)
        if reply is not None:
            reply(messages.ClaimResponse(answer.verdict, answer.outcome))

    # Ownership

    def _ensure_owned(self, number):
        # Every operation on a shard may leave it something to write.
        self.node.ledger_pending.set()
        owned = self._owned.get(number)
        if owned is not None:
            return owned
        now = self.node.clock()
        if not self.node.roster.owns(f"ledger/{number}"):
            return None
        if now - self._last_attempt_at.get(number, float("-inf")) < ACQUIRE_RETRY_S:
            return None
        self._last_attempt_at[number] = now
        try:
            return self._acquire(number)
        except StoreError as exc:
            self.log.warning("failed to acquire a shard", shard=number, why=str(exc))
            return None

    def _acquire(self, number):
        """Return the `_OwnedShard`, None if it was not acquired; raise `StoreError`."""
        key = f"{OWNER_KEY_PREFIX}{number}"
        found = self.node.store.get(key)
        revision = found.mod_revision if found else 0
        put = Put(key, self._name.encode())
        try:
            result = self.node.store.txn([Compare(key, "mod", revision)], [put])
            acquired = result.succeeded
        except StoreError:
            acquired = True
        if not acquired:
            return None
        # Read back: this tells whether a write whose answer was lost took place,
        # and gives the revision for fencing.
        current = self.node.store.get(key)
        if current is None or current.value != self._name.encode():
            return None
        owned = _OwnedShard(
            Shard(self.node.cfg.ledger_horizon),
            current.mod_revision,
            self.node.clock(),
        )
        self._restore(number, owned)
        self._owned[number] = owned
        previous = found.value.decode() if found else "no node"
        self.node.timeline.add(
            "ledger", f"shard {number} taken", why=f"{previous} owned it before"
        )
        return owned

    def _restore(self, number, owned):
        stored = []
        for item in self.node.store.range(f"{BATCH_KEY_PREFIX}{number}/"):
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
        if now - owned.last_write_at < self.node.cfg.ledger_batch_every:
            return
        batch = owned.shard.take_batch(uuid.uuid4().hex)
        if batch is None:
            return
        owned.last_write_at = now
        result = self._commit(number, owned, batch)
        if result == "written":
            owned.batches[batch.sequence] = max(c.at for c in batch.claims)
            for answer in owned.shard.written():
                self._reply(owned, answer)
        elif result == "fenced":
            self._give_up_shard(number, "the owner key changed")
        else:
            # The store is unreachable or refused the write: the claimants are
            # informed that nothing ran, and the same batch is written again until
            # it is known whether it is stored.
            for answer in owned.shard.fail_waiting():
                self._reply(owned, answer)

    def _commit(self, number, owned, batch):
        """Write a batch; return "written", "fenced" or "unknown".

        "fenced" means that this node no longer owns the shard.
        """
        key = f"{BATCH_KEY_PREFIX}{number}/{batch.sequence:012d}"
        body = {
            "nonce": batch.nonce,
            "claims": [_claim_fields(claim) for claim in batch.claims],
        }
        compares = [
            Compare(f"{OWNER_KEY_PREFIX}{number}", "mod", owned.fence),
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
        for _ in range(MAX_READ_BACKS):
            try:
                found = self.node.store.get(key)
                if found is not None:
                    is_own_batch = json.loads(found.value)["nonce"] == nonce
                    return "written" if is_own_batch else "fenced"
                owner = self.node.store.get(f"{OWNER_KEY_PREFIX}{number}")
            except StoreError:
                continue
            if owner is None or owner.mod_revision != owned.fence:
                return "fenced"
            return "unknown"
        return "unknown"

    def _clean_up(self):
        now = self.node.clock()
        if now - self._last_cleanup_at < CLEANUP_PERIOD_S:
            return
        self._last_cleanup_at = now
        for number, owned in self._owned.items():
            wall = self.node.wall()
            expired = owned.shard.expired_batches(list(owned.batches.items()), wall)
            expired = expired[:MAX_DELETES_PER_TXN]
            if not expired:
                continue
            deletes = [Delete(f"{BATCH_KEY_PREFIX}{number}/{n:012d}") for n in expired]
            fence = Compare(f"{OWNER_KEY_PREFIX}{number}", "mod", owned.fence)
            try:
                if self.node.store.txn([fence], deletes).succeeded:
                    for sequence in expired:
                        del owned.batches[sequence]
                    owned.shard.drop_expired(wall)
            except StoreError:
                return


def _claim_fields(claim):
    fields = asdict(claim)
    return {name: value for name, value in fields.items() if value not in (None, False)}
