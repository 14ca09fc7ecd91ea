"""The claim ledger of one shard: batches, owners, answers that got lost."""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["Batch", "Claim", "ClaimAnswer", "Shard", "Verdict"]

MAX_BATCH = 512


class Verdict:
    """Answers to a claim."""

    GRANTED = "granted"
    DONE = "done"
    RUNNING = "running"
    OTHER_BODY = "other-body"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class Claim:
    """One key: who may record it, with which body, and what came of it.

    `nonce` names the attempt that holds the claim. `at` is wall-clock
    seconds, for ageing. `outcome` is the first answer once it is known.
    """

    key: str
    body: str
    nonce: str
    at: float
    outcome: dict | None = None
    released: bool = False


@dataclass(slots=True)
class ClaimAnswer:
    """What a waiting claimant is told."""

    key: str
    nonce: str
    verdict: str
    outcome: dict | None = None


@dataclass(slots=True)
class Batch:
    """Claims to write in one transaction; `nonce` settles a lost answer."""

    sequence: int
    nonce: str
    claims: list = field(default_factory=list)


class Shard:
    """State machine of one shard at its owner.

    The owner asks for a batch with `take_batch`, writes it under its fence
    with compare-and-swap, and reports what the store answered. A claim is
    granted only after the batch that carries it is known to be written. At
    most one batch is outstanding, so the order in the store is the order
    here.
    """

    __slots__ = (
        "_claims",
        "_horizon",
        "_outstanding",
        "_pending",
        "_ready",
        "_sequence",
        "_waiting",
    )

    def __init__(self, horizon_seconds):
        self._horizon = horizon_seconds
        self._claims = OrderedDict()
        self._pending = OrderedDict()
        self._waiting = {}
        self._outstanding = None
        self._sequence = 0
        self._ready = False

    @property
    def ready(self):
        """Whether the shard's whole history has been read."""
        return self._ready

    def restore(self, batches):
        """Load the written batches [(sequence, claims)] of earlier owners."""
        for sequence, claims in sorted(batches, key=lambda item: item[0]):
            for claim in claims:
                self._store(claim)
            self._sequence = max(self._sequence, sequence + 1)
        self._ready = True

    def _store(self, claim):
        self._claims[claim.key] = claim
        self._claims.move_to_end(claim.key)

    def claim(self, key, body, nonce, made_at, now):
        """Ask to record `key`; return a `ClaimAnswer`, or None to wait.

        `made_at` is the wall-clock second the caller says the key was made,
        or None. A key made before the horizon is refused: its claim may
        have aged out.
        """
        if made_at is not None and made_at < now - self._horizon:
            return ClaimAnswer(key, nonce, Verdict.EXPIRED)
        held = self._pending.get(key) or self._claims.get(key)
        if held is None or held.released:
            return self._enqueue(key, body, nonce, now)
        if held.body != body:
            return ClaimAnswer(key, nonce, Verdict.OTHER_BODY)
        if held.outcome is not None:
            return ClaimAnswer(key, nonce, Verdict.DONE, held.outcome)
        if held.nonce != nonce:
            return ClaimAnswer(key, nonce, Verdict.RUNNING)
        if self._waiting.get(key) == nonce:
            return None
        return ClaimAnswer(key, nonce, Verdict.GRANTED)

    def _enqueue(self, key, body, nonce, now):
        self._pending[key] = Claim(key, body, nonce, now)
        self._waiting[key] = nonce
        return None

    def settle(self, key, nonce, outcome):
        """Store the first answer for a key; return whether it is held here."""
        held = self._claims.get(key)
        if held is None or held.nonce != nonce or held.outcome is not None:
            return False
        done = Claim(key, held.body, nonce, held.at, outcome)
        self._pending[key] = done
        return True

    def release(self, key, nonce):
        """Give a claim back whose work was provably never dispatched."""
        pending = self._pending.get(key)
        if pending is not None and pending.nonce == nonce:
            # The batch may be in the store by now; a release must follow it.
            pending.released = True
            self._waiting.pop(key, None)
            return
        held = self._claims.get(key)
        if held is not None and held.nonce == nonce and held.outcome is None:
            self._pending[key] = Claim(key, held.body, nonce, held.at, None, True)

    def is_over(self, key, nonce):
        """Return whether the attempt `nonce` has its final state in the store.

        True as well where the key is unknown or held by another attempt:
        there is nothing to settle or release any more.
        """
        pending = self._pending.get(key)
        if pending is not None and pending.nonce == nonce:
            return False
        held = self._claims.get(key)
        if held is None or held.nonce != nonce:
            return True
        if held.outcome is None and not held.released:
            return False
        batch = self._outstanding
        return batch is None or all(claim is not held for claim in batch.claims)

    def take_batch(self, nonce):
        """Return the next `Batch` to write, or None if there is nothing.

        While a batch is outstanding the same one is returned again.
        """
        if self._outstanding is not None:
            return self._outstanding
        if not self._pending:
            return None
        claims = []
        while self._pending and len(claims) < MAX_BATCH:
            _, claim = self._pending.popitem(last=False)
            claims.append(claim)
        self._outstanding = Batch(self._sequence, nonce, claims)
        for claim in claims:
            self._store(claim)
        return self._outstanding

    def written(self):
        """Note that the outstanding batch is in the store; return answers."""
        batch = self._outstanding
        self._outstanding = None
        self._sequence += 1
        answers = []
        for claim in batch.claims:
            # A later claim of the same key may wait for a batch of its own.
            if self._waiting.get(claim.key) != claim.nonce or claim.released:
                continue
            del self._waiting[claim.key]
            answers.append(ClaimAnswer(claim.key, claim.nonce, Verdict.GRANTED))
        return answers

    def give_up_waiting(self):
        """Answer all claimants during an outage; nothing was dispatched.

        Their claims are released, by a later batch where they may be in the
        store already, so that the same key can be claimed again.
        """
        answers = []
        for key, nonce in list(self._waiting.items()):
            answers.append(ClaimAnswer(key, nonce, Verdict.UNAVAILABLE))
            self.release_unanswered(key, nonce)
        return answers

    def release_unanswered(self, key, nonce):
        """Release one claim whose claimant has been told it did not run."""
        self._waiting.pop(key, None)
        pending = self._pending.get(key)
        if pending is not None and pending.nonce == nonce and pending.outcome is None:
            del self._pending[key]
            return
        self.release(key, nonce)

    def aged_batches(self, batches, now):
        """Return the sequences of written batches past the horizon.

        `batches` is [(sequence, newest claim second)].
        """
        cut = now - 2 * self._horizon
        return [sequence for sequence, newest in batches if newest < cut]

    def forget_aged(self, now):
        """Drop claims past twice the horizon from memory."""
        cut = now - 2 * self._horizon
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.at >= cut:
                break
            del self._claims[key]

    @property
    def has_pending(self):
        """Whether something is to be written or awaits its answer."""
        return bool(self._pending) or self._outstanding is not None

    @property
    def sequence(self):
        """The sequence of the next batch."""
        return self._sequence

    @property
    def size(self):
        """Number of claims remembered."""
        return len(self._claims)
