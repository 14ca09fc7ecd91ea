"""The claim ledger of one shard: idempotency keys, written in batches by its owner."""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["Batch", "Claim", "ClaimAnswer", "Shard", "Verdict"]

MAX_BATCH = 512


class Verdict:
    """Possible answers to a claim.

    GRANTED: the claimant may run the request. DONE: it ran before, the outcome is
    attached. RUNNING: another attempt holds the key. OTHER_BODY: the key was claimed
    with another body. EXPIRED: the key is older than the horizon. UNAVAILABLE: the
    claim could not be written, the request was not run.
    """

    GRANTED = "granted"
    DONE = "done"
    RUNNING = "running"
    OTHER_BODY = "other-body"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class Claim:
    """The state of one idempotency key.

    `nonce` identifies the attempt that holds the claim and `body` is a digest of
    its request. `at` is wall-clock seconds, for expiry. `outcome` is the first answer
    once it is known. A `released` key can be claimed again.
    """

    key: str
    body: str
    nonce: str
    at: float
    outcome: dict | None = None
    released: bool = False


@dataclass(slots=True)
class ClaimAnswer:
    """The answer to one claimant: a verdict and, with DONE, the recorded outcome."""

    key: str
    nonce: str
    verdict: str
    outcome: dict | None = None


@dataclass(slots=True)
class Batch:
    """Claims to write in one transaction.

    If the store's answer is lost, `nonce` tells whether the batch that is stored
    under `sequence` is this one.
    """

    sequence: int
    nonce: str
    claims: list = field(default_factory=list)


class Shard:
    """The state machine of one shard at its owner.

    The owner takes a batch with `take_batch`, writes it with compare-and-swap under
    its fencing number, and reports the result. A claim is granted only after the
    batch that contains it is known to be written. At most one batch is outstanding,
    so the store has the same order as this state machine.
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
        """Whether all stored batches have been read; no claim may be made before."""
        return self._ready

    def restore(self, batches):
        """Load the stored batches [(sequence, claims)] of earlier owners."""
        for sequence, claims in sorted(batches, key=lambda item: item[0]):
            for claim in claims:
                self._store(claim)
            self._sequence = max(self._sequence, sequence + 1)
        self._ready = True

    def _store(self, claim):
        self._claims[claim.key] = claim
        self._claims.move_to_end(claim.key)

    def claim(self, key, body, nonce, made_at, now):
        """Claim `key`; return a `ClaimAnswer`, or None until a batch is written.

        `made_at` is the wall-clock time in seconds at which, according to the caller,
        the key was created, or None. A key from before the horizon is refused, as
        its claim may have been deleted.
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
        """Record the first answer for a key; return whether it is recorded.

        False if this attempt doesn't hold the key or has an outcome already.
        """
        held = self._claims.get(key)
        if held is None or held.nonce != nonce or held.outcome is not None:
            return False
        done = Claim(key, held.body, nonce, held.at, outcome)
        self._pending[key] = done
        return True

    def release(self, key, nonce):
        """Release a claim whose request was certainly not dispatched."""
        pending = self._pending.get(key)
        if pending is not None and pending.nonce == nonce:
            # An earlier state may be in the store by now; the release is written
            # after it.
            pending.released = True
            self._waiting.pop(key, None)
            return
        held = self._claims.get(key)
        if held is not None and held.nonce == nonce and held.outcome is None:
            self._pending[key] = Claim(key, held.body, nonce, held.at, None, True)

    def is_settled(self, key, nonce):
        """Return whether the final state of the attempt `nonce` is in the store.

        Also True if the key is unknown or held by another attempt, as there is
        nothing left to settle or release.
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
        """Return the next `Batch` to write, or None if nothing is pending.

        While a batch is outstanding the same batch is returned again.
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
        """Record that the outstanding batch is in the store.

        Returns the answers to the claimants that waited for it.
        """
        batch = self._outstanding
        self._outstanding = None
        self._sequence += 1
        answers = []
        for claim in batch.claims:
            # A later claim of the same key may wait for another batch.
            if self._waiting.get(claim.key) != claim.nonce or claim.released:
                continue
            del self._waiting[claim.key]
            answers.append(ClaimAnswer(claim.key, claim.nonce, Verdict.GRANTED))
        return answers

    def fail_waiting(self):
        """Answer all waiting claimants with UNAVAILABLE; nothing was dispatched.

        Their claims are released, so that the same keys can be claimed again. A
        claim that may be in the store already is released by a later batch.
        """
        answers = []
        for key, nonce in list(self._waiting.items()):
            answers.append(ClaimAnswer(key, nonce, Verdict.UNAVAILABLE))
            self.release_unanswered(key, nonce)
        return answers

    def release_unanswered(self, key, nonce):
        """Release a claim whose claimant was answered that it did not run."""
        self._waiting.pop(key, None)
        pending = self._pending.get(key)
        if pending is not None and pending.nonce == nonce and pending.outcome is None:
            del self._pending[key]
            return
        self.release(key, nonce)

    def expired_batches(self, batches, now):
        """Return the sequences of stored batches that can be deleted.

        `batches` is [(sequence, time of the newest claim)]. A batch is kept until
        its newest claim is older than twice the horizon.
        """
        cut = now - 2 * self._horizon
        return [sequence for sequence, newest in batches if newest < cut]

    def drop_expired(self, now):
        """Drop claims older than twice the horizon from memory."""
        cut = now - 2 * self._horizon
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.at >= cut:
                break
            del self._claims[key]

    @property
    def has_pending(self):
        """Whether claims wait to be written or a batch is outstanding."""
        return bool(self._pending) or self._outstanding is not None

    @property
    def sequence(self):
        """The sequence of the next batch."""
        return self._sequence

    @property
    def size(self):
        """Number of claims in memory."""
        return len(self._claims)
