"""Handles OpenAI-compatible model requests, streamed and not streamed."""

import json

from lovagepier.callers._admission import admit, make_work
from lovagepier.config import DEFAULT_LINK_BURST_BYTES, DEFAULT_LINK_BYTES_PER_S
from lovagepier.decisions.limits.link_budget import LinkBudget
from lovagepier.errors import ErrorKind, RequestError, RunStatus
from lovagepier.node import InFlightRequest, Relay, TargetRequest
from lovagepier.prompts import block_hashes, prompt_text, prompt_tokens
from lovagepier.targets import NotDispatched
from lovagepier.web import Response

__all__ = ["ModelRequests"]

MAX_DISPATCHES = 3
ANSWER_BYTES_PER_TOKEN = 60
MAX_TOKENS_LIMIT = 1_000_000
# Refusals after which another region may be tried. NO_HOME means that no
# coordinator answers.
_SPILLOVER_KINDS = (
    ErrorKind.SHED,
    ErrorKind.DEADLINE_INFEASIBLE,
    ErrorKind.NO_TARGET,
    ErrorKind.NO_HOME,
)


class ModelRequests:
    """Handles model requests from parsing to the last byte of the response."""

    def __init__(self, node):
        self._node = node
        self._link = None
        self._link_limits = None

    def handle(self, request, route):
        """Return the response to one request.

        `route` is the default route. Raise `RequestError` if the request is
        refused or fails.
        """
        admitted = admit(self._node, request, route)
        body = request.body(self._node.cfg.callers_max_body)
        fields = _parse(body)
        model = self._model(fields)
        work = self._work(admitted, body, fields)
        target_request = TargetRequest(
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
        return self._run(admitted, model, work, target_request)

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
        if not isinstance(limit, int) or not 0 <= limit <= MAX_TOKENS_LIMIT:
            raise RequestError(ErrorKind.BAD_REQUEST, "max_tokens is not allowed")
        return make_work(
            self._node, admitted, body, prompt_tokens(text), limit, block_hashes(text)
        )

    def _run(self, admitted, model, work, target_request):
        for _ in range(MAX_DISPATCHES):
            answer, coordinator, region = self._get_permit(
                work, model, admitted.id_is_generated
            )
            if answer.verdict == "join":
                return self._join(
                    admitted, work, model, region, coordinator, answer, target_request
                )
            try:
                return self._dispatch(
                    work, model, region, coordinator, answer, target_request
                )
            except NotDispatched:
                # Nothing was sent, so it is safe to try another target.
                work.exclude = work.exclude | {answer.target}
                work.attempt += 1
        raise RequestError(
            ErrorKind.NO_TARGET, "no target could be connected to", run=RunStatus.NO
        )

    # Admission

    def _get_permit(self, work, model, id_is_generated):
        """Return (answer, coordinator, region) of the region that takes the request.

        Asks the local region first. If that lacks capacity, or if no coordinator
        answers there, asks the other regions as far as the byte budget of the
        link allows. If they refuse it too and the local region had shed it,
        queues it locally until its deadline; any other local refusal is raised.
        A resent id is first looked for in all regions, so that it joins a
        request that already runs.
        """
        local = self._node.cfg.node_region
        others = self._other_regions(model, local)
        permits = self._node.permits
        if work.attempt and not id_is_generated and not work.exclude:
            found = permits.find_dispatched(work, model, [local, *others])
            if found is not None:
                return found
        try:
            may_cross = bool(others) and self._fits_link_burst(work)
            answer, coordinator = permits.acquire(
                work, model, local, id_is_generated, may_cross
            )
            return answer, coordinator, local
        except RequestError as exc:
            if exc.kind not in _SPILLOVER_KINDS or not others:
                raise
            refused = exc
        for region in others:
            if not self._spend_link(work):
                break
            try:
                answer, coordinator = permits.acquire(
                    work, model, region, id_is_generated, True
                )
                self._note_cross_region(work, region, refused)
                return answer, coordinator, region
            except RequestError as exc:
                if exc.run != RunStatus.NO:
                    raise
        if refused.kind != ErrorKind.SHED:
            raise refused
        answer, coordinator = permits.acquire(
            work, model, local, id_is_generated, False
        )
        return answer, coordinator, local

    def _other_regions(self, model, local):
        pools = self._node.view.pools()
        return sorted(r for subject, r in pools if subject == model and r != local)

    def _cross_region_bytes(self, work):
        tokens = work.max_decode_tokens or 200
        return work.body_bytes + tokens * ANSWER_BYTES_PER_TOKEN

    def _link_budget(self):
        """Return this node's share of the region's cross-region byte budget.

        A change of the limits or of the number of nodes starts a new bucket.
        """
        limits = self._node.view.limits
        nodes = len(self._node.roster.in_region(self._node.cfg.node_region)) or 1
        rate = limits.get("link_bytes_per_second", DEFAULT_LINK_BYTES_PER_S)
        burst = limits.get("link_burst_bytes", DEFAULT_LINK_BURST_BYTES)
        rate_and_burst = (rate / nodes, burst / nodes)
        if rate_and_burst != self._link_limits:
            self._link_limits = rate_and_burst
            self._link = LinkBudget(*rate_and_burst)
        return self._link

    def _fits_link_burst(self, work):
        self._link_budget()
        return self._cross_region_bytes(work) < self._link_limits[1]

    def _spend_link(self, work):
        size = self._cross_region_bytes(work)
        return self._link_budget().allow(size, work.tier, self._node.clock())

    def _note_cross_region(self, work, region, refused):
        self._node.metrics.count("cross_region", work.tier)
        self._node.timeline.add(
            "entry",
            f"sent to region {region}",
            why=f"home region: {refused.detail}",
            request=work.id,
        )

    # Dispatch

    def _adapter(self, answer):
        target = self._node.view.targets.get(answer.target)
        if target is None:
            raise NotDispatched("the target was removed")
        return self._node.targets.adapter(target)

    def _dispatch(self, work, model, region, coordinator, answer, target_request):
        in_flight = self._node.permits.begin(work, model, region, coordinator, answer)
        try:
            adapter = self._adapter(answer)
        except NotDispatched:
            self._node.permits.return_permit(in_flight)
            raise
        relay = Relay(self._node, in_flight, adapter, target_request)
        first = relay.dispatch()
        return self._response(relay, first, target_request)

    def _join(self, admitted, work, model, region, coordinator, answer, target_request):
        in_flight = InFlightRequest(
            work, model, region, coordinator, answer, work.nonce
        )
        try:
            adapter = self._adapter(answer)
        except NotDispatched as exc:
            raise RequestError(ErrorKind.ANSWER_LOST, str(exc))
        relay = Relay(
            self._node,
            in_flight,
            adapter,
            target_request,
            admitted.offset,
            dispatched=False,
        )
        first = relay.join()
        return self._response(relay, first, target_request)

    def _response(self, relay, first, target_request):
        headers = [
            ("X-Run", str(RunStatus.YES)),
            ("X-Request-Id", relay.request_id.partition(".")[2]),
            ("X-Target", relay.target),
        ]
        content_type = relay.headers.get("Content-Type", "application/json")
        if target_request.streamed and relay.status == 200:
            headers.append(("Content-Type", content_type))
            headers.append(("Cache-Control", "no-store"))
            return Response(200, _StreamedBody(first, relay), headers)
        data = relay.read_whole(first)
        if relay.status >= 500:
            raise RequestError(
                ErrorKind.TARGET_FAILED, f"the target answered {relay.status}"
            )
        headers.append(("Content-Type", content_type))
        return Response(relay.status, data, headers)


class _StreamedBody:
    """A streamed response body; the server closes it if the caller disconnects."""

    def __init__(self, first, relay):
        self._first = first
        self._relay = relay

    def __iter__(self):
        if self._first:
            yield self._first
        yield from self._relay.remaining_chunks()

    def close(self):
        """Cancel the request at the target unless the answer is complete."""
        self._relay.close()


def _parse(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise RequestError(ErrorKind.BAD_REQUEST, "the body is not JSON")
    if not isinstance(fields, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, "the body is not a JSON object")
    return fields
