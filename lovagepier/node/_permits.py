"""The entry node's side of a pool: ask the home, follow it when it moves."""

import queue
import threading
import time
import uuid
from dataclasses import astuple

from lovagepier.decisions.work import Outcome
from lovagepier.errors import ErrorKind, RequestError, Run
from lovagepier.node._pool_messages import encode_work
from lovagepier.peers import messages

__all__ = ["InFlightRequest", "Permits"]

CHECK_HOME_S = 0.25
DEADLINE_GRACE_S = 0.3
MAX_HOMES = 4
LOOK_TIMEOUT_S = 1.5
LOOK_SECONDS = 8.0
LOOK_PAUSE_S = 0.1


class InFlightRequest:
    """Work of this entry node between its grant and its outcome."""

    __slots__ = ("home", "nonce", "region", "subject", "target", "version", "work")

    def __init__(self, work, subject, region, home, answer, nonce):
        self.work = work
        self.subject = subject
        self.region = region
        self.home = home
        self.nonce = nonce
        self.target = answer.target
        self.version = answer.version


class _Lost:
    """The asked home can't be reached."""


class Permits:
    """Seeks permits and tells outcomes; remembers what this node runs."""

    def __init__(self, node):
        self._node = node
        self._running = {}
        self._lock = threading.Lock()

    def acquire(self, work, subject, region, fresh, may_cross=False):
        """Return (answer, home): a grant or a join.

        Raise `RequestError` for a refusal, or NO_HOME where no node answers.
        Blocks up to the deadline of `work`.
        """
        tried = []
        moves = 0
        while True:
            home = self._pick_home(subject, region, tried)
            if home is None or self._node.clock() >= work.deadline:
                raise self._no_home(work, tried)
            answer = self._ask(home, work, subject, region, fresh, may_cross)
            if answer is None:
                tried.append(home)
                continue
            if answer.verdict == "moved":
                moves += 1
                if moves > MAX_HOMES:
                    raise self._no_home(work, tried)
                continue
            if answer.verdict == "refuse":
                raise self._refused(answer)
            return answer, home

    def find_dispatched(self, work, subject, regions):
        """Return (answer, home, region) where a region knows the id.

        Returns None if every region says that it does not. Raise
        `RequestError` if one does not say: the id may run there.
        """
        for region in regions:
            answer, home = self._look_in(work, subject, region)
            if answer is None:
                raise RequestError(
                    ErrorKind.ANSWER_LOST,
                    f"region {region} does not say whether it ran the id",
                )
            if answer.verdict == "refuse":
                raise self._refused(answer)
            if answer.verdict == "join":
                return answer, home, region
        return None

    def _look_in(self, work, subject, region):
        """Ask a region's homes, the next where one is silent, for a while."""
        body = messages.PoolLookup(subject, region, work.id, work.fingerprint)
        until = min(work.deadline, self._node.clock() + LOOK_SECONDS)
        while self._node.clock() < until:
            duty = f"pool/{subject}/{region}"
            for home in self._node.roster.ranked_nodes(duty, region)[:2]:
                answer = self._node.ask(home, body, LOOK_TIMEOUT_S)
                if answer is not None:
                    return answer, home
            time.sleep(LOOK_PAUSE_S)
        return None, None

    def _pick_home(self, subject, region, tried):
        roster = self._node.roster
        for name in roster.ranked_nodes(f"pool/{subject}/{region}", region)[:MAX_HOMES]:
            if name not in tried:
                return name
        return None

    def _no_home(self, work, tried):
        if self._node.clock() >= work.deadline:
            why = "the deadline passed before a permit came"
            return RequestError(ErrorKind.DEADLINE_WAITING, why)
        why = f"asked {', '.join(tried) or 'nobody'}"
        return RequestError(ErrorKind.NO_HOME, why)

    def _refused(self, answer):
        kind = ErrorKind(answer.kind)
        return RequestError(kind, answer.why, retry_after=answer.retry_after or None)

    def _ask(self, home, work, subject, region, fresh, may_cross):
        """Return the home's last answer, or None where it gave none."""
        answers = queue.SimpleQueue()
        nonce = uuid.uuid4().hex
        work.nonce = nonce

        def sink(answer):
            answers.put(answer)
            return answer.verdict != "queued"

        body = messages.PermitRequest(
            subject,
            region,
            work.id,
            work.tier,
            nonce,
            work.deadline - self._node.clock(),
            fresh,
            may_cross,
            encode_work(work),
        )
        abandoned = threading.Event()

        def guarded(answer):
            # A permit that comes after this node turned elsewhere is refused.
            if abandoned.is_set():
                self._refuse_late(answer, subject, region, home, nonce)
                return True
            return sink(answer)

        handle = self._node.converse(home, body, guarded, lambda _: answers.put(_Lost))
        answer = self._first_answer(answers)
        if answer is not None and answer.verdict == "queued":
            answer = self._wait_in_queue(answers, home, work, subject, region)
        if answer is None:
            abandoned.set()
            answer = self._drain_late(answers)
        if answer is None:
            self._node.tell(home, messages.PoolWithdraw(subject, region, work.id))
            self._node.timeline.add(
                "pool", "home did not answer", request=work.id, subject=home
            )
            self._node.expire_later(handle)
        return answer

    def _first_answer(self, answers):
        try:
            answer = answers.get(timeout=self._node.cfg.pools_home_answer)
        except queue.Empty:
            return None
        return None if answer is _Lost else answer

    def _drain_late(self, answers):
        """Return an answer that came in the moment of giving up."""
        while True:
            try:
                answer = answers.get_nowait()
            except queue.Empty:
                return None
            if answer is not _Lost and answer.verdict != "queued":
                return answer

    def _wait_in_queue(self, answers, home, work, subject, region):
        limit = work.deadline + DEADLINE_GRACE_S
        while self._node.clock() < limit:
            try:
                answer = answers.get(timeout=CHECK_HOME_S)
            except queue.Empty:
                if not self._still_home(home):
                    return None
                continue
            if answer is _Lost:
                return None
            if answer.verdict != "queued":
                return answer
        return None

    def _still_home(self, home):
        return home in self._node.roster.reachable

    def _refuse_late(self, answer, subject, region, home, nonce):
        if answer.verdict != "grant":
            return
        outcome = Outcome(answer.id, answer.target, "returned")
        body = messages.PoolFinished(subject, region, nonce, list(astuple(outcome)))
        self._node.tell(home, body)
        self._node.timeline.add(
            "pool",
            "late permit refused",
            why="this node had turned to another home",
            request=answer.id,
            subject=home,
        )

    # What this node runs

    def begin(self, work, subject, region, home, answer):
        """Remember granted work; raise if this id runs here already."""
        item = InFlightRequest(work, subject, region, home, answer, work.nonce)
        with self._lock:
            if work.id in self._running:
                raise RequestError(
                    ErrorKind.KEY_IN_USE, "the id runs on this node", run=Run.MAYBE
                )
            self._running[work.id] = item
        return item

    def first_byte(self, item, seconds):
        """Tell the home when the first byte came."""
        body = messages.PoolFirstByte(item.subject, item.region, item.work.id, seconds)
        self._node.tell(item.home, body)

    def finish(self, item, outcome):
        """Tell the home the outcome and forget the work."""
        with self._lock:
            self._running.pop(item.work.id, None)
        body = messages.PoolFinished(
            item.subject, item.region, item.nonce, list(astuple(outcome))
        )
        self._node.tell(item.home, body)

    def return_permit(self, item):
        """Tell the home that granted work was not dispatched."""
        self.finish(item, Outcome(item.work.id, item.target, "returned"))

    def on_roster(self, roster):
        """Register running work with the new home of its pool."""
        moved = {}
        with self._lock:
            for item in self._running.values():
                duty = f"pool/{item.subject}/{item.region}"
                home = roster.owner(duty, item.region)
                if home is None or home == item.home:
                    continue
                item.home = home
                rows = moved.setdefault((home, item.subject, item.region), [])
                rows.append(_row_of(item))
        for (home, subject, region), rows in moved.items():
            self._node.tell(home, messages.PoolRegister(subject, region, rows))

    def count(self):
        """Return the number of requests this node runs."""
        with self._lock:
            return len(self._running)


def _row_of(item):
    work = item.work
    return [work.id, work.tier, work.nonce, encode_work(work), item.target]
