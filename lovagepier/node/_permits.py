"""The entry host's side of a pool: gets permits from the pool's coordinator."""

import queue
import threading
import time
import uuid
from dataclasses import astuple

from lovagepier.decisions.placement.work import Outcome
from lovagepier.errors import ErrorKind, RequestError, RunStatus
from lovagepier.node._pool_messages import encode_work
from lovagepier.peers import messages

__all__ = ["InFlightRequest", "PermitClient"]

COORDINATOR_CHECK_S = 0.25
# Wait beyond the deadline for the coordinator's refusal to arrive.
DEADLINE_GRACE_S = 0.3
MAX_COORDINATORS = 4
LOOKUP_TIMEOUT_S = 1.5
MAX_LOOKUP_S = 8.0
LOOKUP_RETRY_S = 0.1


class InFlightRequest:
    """A request that this entry host runs, from its grant to its outcome.

    `coordinator` is the node to report to; `subject` and `region` name the pool.
    """

    __slots__ = (
        "coordinator",
        "nonce",
        "region",
        "subject",
        "target",
        "version",
        "work",
    )

    def __init__(self, work, subject, region, coordinator, answer, nonce):
        self.work = work
        self.subject = subject
        self.region = region
        self.coordinator = coordinator
        self.nonce = nonce
        self.target = answer.target
        self.version = answer.version


class _Unreachable:
    """Marks in the queue of answers that the coordinator can't be reached."""


class PermitClient:
    """Acquires permits, reports outcomes and tracks the requests of this host."""

    def __init__(self, node):
        self._node = node
        self._in_flight = {}
        self._lock = threading.Lock()

    def acquire(self, work, subject, region, fresh, may_cross_region=False):
        """Return (answer, coordinator); the answer is a grant or a join.

        Raise `RequestError` for a refusal or if no coordinator answers. Blocks up
        to the deadline of `work`.
        """
        tried = []
        redirects = 0
        while True:
            coordinator = self._pick_coordinator(subject, region, tried)
            if coordinator is None or self._node.clock() >= work.deadline:
                raise self._no_coordinator(work, tried)
            answer = self._ask(
                coordinator, work, subject, region, fresh, may_cross_region
            )
            if answer is None:
                tried.append(coordinator)
                continue
            if answer.verdict == "moved":
                redirects += 1
                if redirects > MAX_COORDINATORS:
                    raise self._no_coordinator(work, tried)
                continue
            if answer.verdict == "refuse":
                raise self._refusal_error(answer)
            return answer, coordinator

    def find_dispatched(self, work, subject, regions):
        """Find the region in which an id was dispatched before.

        Return (answer, coordinator, region), or None if every region answers that
        it doesn't know the id. Raise `RequestError` if a region doesn't answer,
        because the id may run there.
        """
        for region in regions:
            answer, coordinator = self._look_up(work, subject, region)
            if answer is None:
                raise RequestError(
                    ErrorKind.ANSWER_LOST,
                    f"region {region} does not say whether it ran the id",
                )
            if answer.verdict == "refuse":
                raise self._refusal_error(answer)
            if answer.verdict == "join":
                return answer, coordinator, region
        return None

    def _look_up(self, work, subject, region):
        """Ask the first two ranked coordinators in turn until one answers.

        Return (None, None) if none does within `MAX_LOOKUP_S` or before the
        deadline.
        """
        body = messages.PoolLookup(subject, region, work.id, work.fingerprint)
        deadline = min(work.deadline, self._node.clock() + MAX_LOOKUP_S)
        while self._node.clock() < deadline:
            role = f"pool/{subject}/{region}"
            for coordinator in self._node.roster.ranked_nodes(role, region)[:2]:
                answer = self._node.ask(coordinator, body, LOOKUP_TIMEOUT_S)
                if answer is not None:
                    return answer, coordinator
            time.sleep(LOOKUP_RETRY_S)
        return None, None

    def _pick_coordinator(self, subject, region, tried):
        roster = self._node.roster
        for name in roster.ranked_nodes(f"pool/{subject}/{region}", region)[
            :MAX_COORDINATORS
        ]:
            if name not in tried:
                return name
        return None

    def _no_coordinator(self, work, tried):
        # The error kind no-home means that no coordinator answers.
        if self._node.clock() >= work.deadline:
            why = "the deadline passed before a permit came"
            return RequestError(ErrorKind.DEADLINE_WAITING, why)
        why = f"asked {', '.join(tried) or 'no node'}"
        return RequestError(ErrorKind.NO_HOME, why)

    def _refusal_error(self, answer):
        kind = ErrorKind(answer.kind)
        return RequestError(kind, answer.why, retry_after=answer.retry_after or None)

    def _ask(self, coordinator, work, subject, region, fresh, may_cross_region):
        """Return the coordinator's final answer, or None if it gave none."""
        answers = queue.SimpleQueue()
        nonce = uuid.uuid4().hex
        work.nonce = nonce

        def on_answer(answer):
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
            may_cross_region,
            encode_work(work),
        )
        gave_up = threading.Event()

        def deliver(answer):
            # A permit that arrives after this node has asked another coordinator
            # goes back unused.
            if gave_up.is_set():
                self._return_late_permit(answer, subject, region, coordinator, nonce)
                return True
            return on_answer(answer)

        handle = self._node.ask_many(
            coordinator, body, deliver, lambda _: answers.put(_Unreachable)
        )
        answer = self._first_answer(answers)
        if answer is not None and answer.verdict == "queued":
            answer = self._wait_in_queue(answers, coordinator, work, subject, region)
        if answer is None:
            gave_up.set()
            answer = self._late_answer(answers)
        if answer is None:
            self._node.tell(
                coordinator, messages.PoolWithdraw(subject, region, work.id)
            )
            self._node.timeline.add(
                "pool", "home did not answer", request=work.id, subject=coordinator
            )
            self._node.forget_later(handle)
        return answer

    def _first_answer(self, answers):
        # The setting home_answer is the timeout for a coordinator's first answer.
        try:
            answer = answers.get(timeout=self._node.cfg.pools_home_answer)
        except queue.Empty:
            return None
        return None if answer is _Unreachable else answer

    def _late_answer(self, answers):
        """Return an answer that arrived just before `gave_up` was set, or None."""
        while True:
            try:
                answer = answers.get_nowait()
            except queue.Empty:
                return None
            if answer is not _Unreachable and answer.verdict != "queued":
                return answer

    def _wait_in_queue(self, answers, coordinator, work, subject, region):
        limit = work.deadline + DEADLINE_GRACE_S
        while self._node.clock() < limit:
            try:
                answer = answers.get(timeout=COORDINATOR_CHECK_S)
            except queue.Empty:
                if not self._is_reachable(coordinator):
                    return None
                continue
            if answer is _Unreachable:
                return None
            if answer.verdict != "queued":
                return answer
        return None

    def _is_reachable(self, coordinator):
        return coordinator in self._node.roster.reachable

    def _return_late_permit(self, answer, subject, region, coordinator, nonce):
        if answer.verdict != "grant":
            return
        outcome = Outcome(answer.id, answer.target, "returned")
        body = messages.PoolFinished(subject, region, nonce, list(astuple(outcome)))
        self._node.tell(coordinator, body)
        self._node.timeline.add(
            "pool",
            "late permit refused",
            why="this node had turned to another coordinator",
            request=answer.id,
            subject=coordinator,
        )

    # Requests in flight

    def begin(self, work, subject, region, coordinator, answer):
        """Track a granted request; raise `RequestError` if its id runs here already."""
        in_flight = InFlightRequest(
            work, subject, region, coordinator, answer, work.nonce
        )
        with self._lock:
            if work.id in self._in_flight:
                raise RequestError(
                    ErrorKind.KEY_IN_USE,
                    "the id runs on this node",
                    run=RunStatus.MAYBE,
                )
            self._in_flight[work.id] = in_flight
        return in_flight

    def report_first_byte(self, in_flight, seconds):
        """Report the seconds from dispatch to the first byte of the answer."""
        body = messages.PoolFirstByte(
            in_flight.subject, in_flight.region, in_flight.work.id, seconds
        )
        self._node.tell(in_flight.coordinator, body)

    def finish(self, in_flight, outcome):
        """Report the outcome to the coordinator and stop tracking the request."""
        with self._lock:
            self._in_flight.pop(in_flight.work.id, None)
        body = messages.PoolFinished(
            in_flight.subject, in_flight.region, in_flight.nonce, list(astuple(outcome))
        )
        self._node.tell(in_flight.coordinator, body)

    def return_permit(self, in_flight):
        """Report that a granted request was not dispatched."""
        self.finish(in_flight, Outcome(in_flight.work.id, in_flight.target, "returned"))

    def on_roster(self, roster):
        """Register running requests with the new coordinators of their pools."""
        moved = {}
        with self._lock:
            for in_flight in self._in_flight.values():
                role = f"pool/{in_flight.subject}/{in_flight.region}"
                coordinator = roster.owner(role, in_flight.region)
                if coordinator is None or coordinator == in_flight.coordinator:
                    continue
                in_flight.coordinator = coordinator
                rows = moved.setdefault(
                    (coordinator, in_flight.subject, in_flight.region), []
                )
                rows.append(_encode_in_flight(in_flight))
        for (coordinator, subject, region), rows in moved.items():
            self._node.tell(coordinator, messages.PoolRegister(subject, region, rows))

    def count(self):
        """Return the number of requests in flight."""
        with self._lock:
            return len(self._in_flight)


def _encode_in_flight(in_flight):
    work = in_flight.work
    return [work.id, work.tier, work.nonce, encode_work(work), in_flight.target]
