"""Model requests: OpenAI-compatible, streamed and whole."""

import json

from lovagepier.callers._admission import admit, make_work
from lovagepier.config import DEFAULT_LINK_BURST_BYTES, DEFAULT_LINK_BYTES_PER_S
from lovagepier.decisions.linkbudget import LinkBudget
from lovagepier.errors import ErrorKind, RequestError, Run
from lovagepier.node import InFlightRequest, Relay, TargetRequest
from lovagepier.prompts import block_hashes, prompt_text, prompt_tokens
from lovagepier.targets import NotDispatched
from lovagepier.web import Response

__all__ = ["ModelRequests"]

MAX_REDISPATCH = 3
CROSS_ANSWER_BYTES_A_TOKEN = 60
MAX_MAX_TOKENS = 1_000_000
_SPILL = (
    ErrorKind.SHED,
    ErrorKind.DEADLINE_INFEASIBLE,
    ErrorKind.NO_TARGET,
    ErrorKind.NO_HOME,
)


class ModelRequests:
    """Carries one model request from its parsing to the last byte."""

    def __init__(self, node):
        self._node = node
        self._link = None
        self._link_terms = None

    def handle(self, request, route):
        """Return the answer to one request."""
        admitted = admit(self._node, request, route)
        body = request.body(self._node.cfg.callers_max_body)
        fields = _parse(body)
        model = self._model(fields)
        work = self._work(admitted, body, fields)
        exchange = TargetRequest(
            "POST",
            request.path,
            body,
            {
                "Content-Type": "application/json",
                "X-Request-Id": admitted.id,
                "X-Route": admitted.route,
            },
            bool(fields.get("stream")),
        )
        return self._run(admitted, model, work, exchange)

    def _model(self, fields):
        model = fields.get("model")
        if not isinstance(model, str) or model not in self._node.view.models:
            raise RequestError(ErrorKind.UNKNOWN_MODEL, f"no model {str(model)[:80]!r}")
        return model

    def _work(self, admitted, body, fields):
        try:
            text = prompt_text(fields)
        except ValueError as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, str(exc))
        limit = fields.get("max_tokens") or fields.get("max_completion_tokens") or 0
        if not isinstance(limit, int) or not 0 <= limit <= MAX_MAX_TOKENS:
            raise RequestError(ErrorKind.BAD_REQUEST, "max_tokens is not allowed")
        return make_work(
            self._node, admitted, body, prompt_tokens(text), limit, block_hashes(text)
        )

    def _run(self, admitted, model, work, exchange):
        for _ in range(MAX_REDISPATCH):
            answer, home, region = self._permit(work, model, admitted.fresh)
            if answer.verdict == "join":
                return self._join(admitted, work, model, region, home, answer, exchange)
            try:
                return self._dispatch(work, model, region, home, answer, exchange)
            except NotDispatched:
                # Nothing was sent, so another target may have it.
                work.exclude = work.exclude | {answer.target}
                work.attempt += 1
        raise RequestError(
            ErrorKind.NO_TARGET, "no target could be connected to", run=Run.NO
        )

    # Permits

    def _permit(self, work, model, fresh):
        """Seek a permit at home, across the link, then at home to the end."""
        here = self._node.cfg.node_region
        others = self._other_regions(model, here)
        permits = self._node.permits
        if work.attempt and not fresh and not work.exclude:
            found = permits.find_dispatched(work, model, [here, *others])
            if found is not None:
                return found
        try:
            may_cross = bool(others) and self._affordable(work)
            answer, home = permits.acquire(work, model, here, fresh, may_cross)
            return answer, home, here
        except RequestError as exc:
            if exc.kind not in _SPILL or not others:
                raise
            refused = exc
        for region in others:
            if not self._spend_link(work):
                break
            try:
                answer, home = permits.acquire(work, model, region, fresh, True)
                self._note_cross(work, region, refused)
                return answer, home, region
            except RequestError as exc:
                if exc.run != Run.NO:
                    raise
        if refused.kind != ErrorKind.SHED:
            raise refused
        answer, home = permits.acquire(work, model, here, fresh, False)
        return answer, home, here

    def _other_regions(self, model, here):
        pools = self._node.view.pools()
        return sorted(r for subject, r in pools if subject == model and r != here)

    def _cross_bytes(self, work):
        tokens = work.max_decode_tokens or 200
        return work.body_bytes + tokens * CROSS_ANSWER_BYTES_A_TOKEN

    def _budget(self):
        """Return this node's part of the region's byte budget for the link."""
        limits = self._node.view.limits
        nodes = len(self._node.roster.in_region(self._node.cfg.node_region)) or 1
        rate = limits.get("link_bytes_per_second", DEFAULT_LINK_BYTES_PER_S)
        burst = limits.get("link_burst_bytes", DEFAULT_LINK_BURST_BYTES)
        terms = (rate / nodes, burst / nodes)
        if terms != self._link_terms:
            self._link_terms = terms
            self._link = LinkBudget(*terms)
        return self._link

    def _affordable(self, work):
        self._budget()
        return self._cross_bytes(work) < self._link_terms[1]

    def _spend_link(self, work):
        size = self._cross_bytes(work)
        return self._budget().allow(size, work.tier, self._node.clock())

    def _note_cross(self, work, region, refused):
        self._node.metrics.count("cross_region", work.tier)
        self._node.timeline.add(
            "entry",
            f"sent to region {region}",
            why=f"home region: {refused.detail}",
            request=work.id,
        )

    # Exchange

    def _adapter(self, answer):
        target = self._node.view.targets.get(answer.target)
        if target is None:
            raise NotDispatched("the target was removed")
        return self._node.targets.adapter(target)

    def _dispatch(self, work, model, region, home, answer, exchange):
        item = self._node.permits.begin(work, model, region, home, answer)
        try:
            adapter = self._adapter(answer)
        except NotDispatched:
            self._node.permits.return_permit(item)
            raise
        relay = Relay(self._node, item, adapter, exchange)
        first = relay.dispatch()
        return self._answer(relay, first, exchange)

    def _join(self, admitted, work, model, region, home, answer, exchange):
        item = InFlightRequest(work, model, region, home, answer, work.nonce)
        try:
            adapter = self._adapter(answer)
        except NotDispatched as exc:
            raise RequestError(ErrorKind.ANSWER_LOST, str(exc))
        relay = Relay(
            self._node, item, adapter, exchange, admitted.offset, dispatched=False
        )
        first = relay.join()
        return self._answer(relay, first, exchange)

    def _answer(self, relay, first, exchange):
        headers = [
            ("X-Run", str(Run.YES)),
            ("X-Request-Id", relay.request_id.partition(".")[2]),
            ("X-Target", relay.target),
        ]
        content_type = relay.headers.get("Content-Type", "application/json")
        if exchange.streamed and relay.status == 200:
            headers.append(("Content-Type", content_type))
            headers.append(("Cache-Control", "no-store"))
            return Response(200, _Body(first, relay), headers)
        data = first + b"".join(relay.remaining_chunks())
        if relay.status >= 500:
            raise RequestError(
                ErrorKind.TARGET_FAILED, f"the target answered {relay.status}"
            )
        headers.append(("Content-Type", content_type))
        return Response(relay.status, data, headers)


class _Body:
    """A streamed body; the server closes it when the caller goes away."""

    def __init__(self, first, relay):
        self._first = first
        self._relay = relay

    def __iter__(self):
        if self._first:
            yield self._first
        yield from self._relay.remaining_chunks()

    def close(self):
        """Stop the target's work unless the answer is over."""
        self._relay.close()


def _parse(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise RequestError(ErrorKind.BAD_REQUEST, "the body is not JSON")
    if not isinstance(fields, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, "the body is not a JSON object")
    return fields
