"""Handles calls to plain services.

A call that isn't idempotent first claims its idempotency key in the ledger, so
that it is dispatched at most once per key.
"""

import base64
import hashlib
import json
import time
import uuid

from lovagepier.callers._admission import admit, make_work
from lovagepier.decisions.membership.claims import Verdict
from lovagepier.decisions.placement.rendezvous import shard_of
from lovagepier.errors import ErrorKind, RequestError, RunStatus
from lovagepier.node import Relay, TargetRequest
from lovagepier.peers import messages
from lovagepier.targets import NotDispatched
from lovagepier.web import Response

__all__ = ["RecordRequests", "key_created_at"]

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_KEY_CHARS = 200
MAX_STORED_BODY_BYTES = 64 * 1024
CLAIM_POLL_S = 0.1
MAX_DISPATCHES = 3
_HEADERS_NOT_FORWARDED = {
    "connection",
    "content-length",
    "date",
    "server",
    "transfer-encoding",
    "keep-alive",
}


def key_created_at(key):
    """Return when a UUIDv7 key was created in Unix seconds, or None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000.0


class RecordRequests:
    """Handles calls to services, with at most one dispatch per idempotency key."""

    def __init__(self, node):
        self._node = node

    def handle(self, request):
        """Return the response to one call.

        Raise `RequestError` if the call is refused or fails.
        """
        parts = request.path_segments()
        service = parts[1] if len(parts) > 1 else ""
        if service not in self._node.view.services:
            admit(self._node, request, "records")
            raise RequestError(
                ErrorKind.UNKNOWN_SERVICE, f"no service is named {service[:80]!r}"
            )
        admitted = admit(self._node, request, service)
        body = request.body(self._node.cfg.callers_max_body)
        target_request = self._target_request(request, admitted, service, body)
        work = make_work(self._node, admitted, body, max_tokens=1)
        if self._is_idempotent(service, request.method):
            work.id = f"{work.id}.{uuid.uuid4().hex[:12]}"
            return self._dispatch(service, work, target_request)
        return self._run_at_most_once(request, admitted, service, work, target_request)

    def _is_idempotent(self, service, method):
        allowed = self._node.view.services[service].get("idempotent_methods", [])
        return method in SAFE_METHODS or method in allowed

    def _target_request(self, request, admitted, service, body):
        prefix = f"/records/{service}"
        path = request.path[len(prefix) :] or "/"
        query = request.environ.get("QUERY_STRING", "")
        headers = {"X-Request-Id": admitted.id, "X-Account": admitted.account.name}
        for name in ("Content-Type", "Accept", "Idempotency-Key"):
            if request.header(name):
                headers[name] = request.header(name)
        target = f"{path}?{query}" if query else path
        return TargetRequest(request.method, target, body, headers)

    # Claims

    def _run_at_most_once(self, request, admitted, service, work, target_request):
        key = request.header("Idempotency-Key")
        if not key or len(key) > MAX_KEY_CHARS:
            raise RequestError(
                ErrorKind.KEY_REQUIRED,
                f"{request.method} needs an Idempotency-Key, "
                f"at most {MAX_KEY_CHARS} long",
            )
        claim = _Claim(self._node, admitted, service, key, target_request)
        stored = claim.acquire(work.deadline)
        if stored is not None:
            return _replay_response(stored)
        # Each claim attempt dispatches under an id of its own: the claim, not
        # the request id, keeps the call from running twice.
        work.id = f"{work.id}.{claim.nonce[:12]}"
        return self._dispatch_claimed(claim, service, work, target_request)

    def _dispatch_claimed(self, claim, service, work, target_request):
        try:
            response = self._dispatch(service, work, target_request)
        except RequestError as exc:
            if exc.run == RunStatus.NO:
                claim.release()
            else:
                claim.settle({"lost": exc.detail})
            raise
        claim.settle(_outcome_to_store(response))
        return response

    # Dispatch

    def _get_permit(self, work, service):
        regions = self._regions(service)
        error = RequestError(ErrorKind.NO_TARGET, "no region has this service")
        for region in regions:
            try:
                return self._node.permits.acquire(work, service, region, True)
            except RequestError as exc:
                error = exc
                if exc.kind not in (ErrorKind.NO_TARGET, ErrorKind.NO_HOME):
                    raise
        raise error

    def _regions(self, service):
        local = self._node.cfg.node_region
        regions = {r for subject, r in self._node.view.pools() if subject == service}
        return sorted(regions, key=lambda region: (region != local, region))

    def _region_of(self, answer):
        return self._node.view.targets[answer.target].region

    def _adapter(self, in_flight):
        target = self._node.view.targets.get(in_flight.target)
        if target is None:
            raise NotDispatched("the target was removed")
        return self._node.targets.adapter(target)

    def _dispatch(self, service, work, target_request):
        for _ in range(MAX_DISPATCHES):
            answer, coordinator = self._get_permit(work, service)
            region = self._region_of(answer)
            in_flight = self._node.permits.begin(
                work, service, region, coordinator, answer
            )
            try:
                relay = Relay(
                    self._node, in_flight, self._adapter(in_flight), target_request
                )
                first = relay.dispatch()
            except NotDispatched:
                self._node.permits.return_permit(in_flight)
                work.exclude = work.exclude | {answer.target}
                work.attempt += 1
                continue
            return _response_from(relay, first + b"".join(relay.remaining_chunks()))
        raise RequestError(
            ErrorKind.NO_TARGET, "no target could be connected to", run=RunStatus.NO
        )


class _Claim:
    """One attempt to claim an idempotency key in the ledger."""

    __slots__ = ("_body", "_key", "_created_at", "_node", "_shard", "nonce")

    def __init__(self, node, admitted, service, key, target_request):
        self._node = node
        self.nonce = uuid.uuid4().hex
        self._key = f"{admitted.account.name}/{service}/{key}"
        self._shard = shard_of(self._key, node.cfg.ledger_shards)
        self._created_at = key_created_at(key)
        text = (
            f"{target_request.method} {target_request.path}\n".encode()
            + target_request.body
        )
        self._body = hashlib.sha256(text).hexdigest()[:32]

    def acquire(self, deadline):
        """Return the stored first answer, or None once the claim is granted.

        Waits while another attempt holds the key, up to `deadline` or the
        configured claim timeout. Raise `RequestError` otherwise: this attempt
        has not run the call.
        """
        limit = min(deadline, self._node.clock() + self._node.cfg.ledger_claim_timeout)
        last = Verdict.UNAVAILABLE
        while self._node.clock() < limit:
            answer = self._ask(limit)
            if answer is None:
                continue
            last = answer.verdict
            if last == Verdict.GRANTED:
                return None
            if last == Verdict.DONE:
                return answer.outcome
            if last == Verdict.OTHER_BODY:
                raise RequestError(ErrorKind.KEY_REUSED, "the key holds another body")
            if last == Verdict.EXPIRED:
                raise RequestError(ErrorKind.KEY_EXPIRED, "the key is too old")
            time.sleep(CLAIM_POLL_S)
        self.release()
        if last == Verdict.RUNNING:
            raise RequestError(ErrorKind.KEY_IN_USE, "an earlier call has not ended")
        raise RequestError(ErrorKind.LEDGER_UNAVAILABLE, "the claim was not written")

    def _owner(self):
        return self._node.roster.owner(f"ledger/{self._shard}")

    def _ask(self, limit):
        owner = self._owner()
        if owner is None:
            time.sleep(CLAIM_POLL_S)
            return None
        body = messages.ClaimRequest(
            self._shard, self._key, self._body, self.nonce, self._created_at
        )
        wait = max(0.05, limit - self._node.clock())
        return self._node.ask(owner, body, wait)

    def settle(self, outcome):
        """Queue the outcome of the call for storage in the ledger."""
        body = messages.ClaimSettle(self._shard, self._key, self.nonce, outcome)
        self._node.settlements.add(body)

    def release(self):
        """Release the key, as nothing was dispatched."""
        body = messages.ClaimRelease(self._shard, self._key, self.nonce)
        self._node.settlements.add(body)


def _response_from(relay, data):
    headers = [
        (name, value)
        for name, value in relay.headers.items()
        if name.lower() not in _HEADERS_NOT_FORWARDED
    ]
    headers.append(("X-Run", str(RunStatus.YES)))
    return Response(relay.status, data, headers)


def _outcome_to_store(response):
    stored = response.body[:MAX_STORED_BODY_BYTES]
    return {
        "status": response.status,
        "headers": [list(pair) for pair in response.headers],
        "body": base64.b64encode(stored).decode(),
        "cut": len(stored) < len(response.body),
    }


def _replay_response(outcome):
    if "lost" in outcome:
        raise RequestError(
            ErrorKind.ANSWER_LOST,
            f"the first call's answer was lost: {outcome['lost']}",
        )
    if outcome.get("cut"):
        body = json.dumps({"detail": "recorded; its answer was too long to keep"})
        headers = [("X-Run", str(RunStatus.YES)), ("Content-Type", "application/json")]
        return Response(outcome["status"], body.encode(), headers)
    headers = [tuple(pair) for pair in outcome["headers"]]
    headers.append(("Idempotent-Replay", "true"))
    return Response(outcome["status"], base64.b64decode(outcome["body"]), headers)
