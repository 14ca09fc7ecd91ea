"""What the outcomes of requests teach about targets and request lengths."""

__all__ = ["OutcomeLearning"]


class OutcomeLearning:
    """Updates the estimates of one pool by the outcomes of its requests.

    `targets` are its `PoolTargets`, `trials` its `Trials`, `lengths` its
    `LengthEstimates`, `paces` its `PoolPaces`. `has_outcomes`
    tells whether any estimate rests on an outcome.
    """

    __slots__ = ("_fleet", "_lengths", "_paces", "_targets", "_trials", "has_outcomes")

    def __init__(self, fleet, targets, trials, lengths, paces):
        self._fleet = fleet
        self._targets = targets
        self._trials = trials
        self._lengths = lengths
        self._paces = paces
        self.has_outcomes = False

    def learn_first(self, state, request_id, seconds, now):
        """Adapt limit and prefill rate of a target to a time to first byte.

        What exceeds 1.5 times the prefill alone counts as queueing.
        """
        tokens = state.prefilled(request_id)
        if tokens is None:
            return
        alone = tokens / state.speed.prefill_rate
        waited = max(0.0, seconds - alone * 1.5)
        state.limit.on_first_byte(waited, state.in_flight, now)
        if waited < 0.5 * alone or not state.speed.known:
            state.speed.learn_prefill(tokens, seconds)

    def learn(self, state, running, outcome, pauses, now):
        """Apply the outcome of a request that was `running` at a target.

        `pauses` are the `Pauses` of the targets.
        """
        self._paces.on_outcome(state, running, outcome, now)
        if outcome.first_seconds is not None:
            self.learn_first(state, outcome.id, outcome.first_seconds, now)
        state.finish(outcome.id)
        self._learn_room(state, outcome, now)
        self._learn_status(state, running, outcome, pauses, now)
        self._learn_crash(state, running, outcome, now)
        self._fleet.reindex(state)

    def _learn_room(self, state, outcome, now):
        limit = state.rejection_limit
        if outcome.status in ("not-run", "paused"):
            limit.on_rejected(outcome.id, state.in_flight, now)
        elif outcome.status in ("returned", "unreachable"):
            limit.on_returned(outcome.id)
        elif outcome.status in ("ok", "failed"):
            limit.on_accepted(outcome.id)
        else:
            limit.on_lost(outcome.id, now)

    def _learn_status(self, state, running, outcome, pauses, now):
        if outcome.status == "ok":
            state.on_success()
            pauses.on_success(running.work.entry, state.name, now)
            self._trials.on_success(running.work)
            self._learn_lengths(state, running.work, outcome)
        elif outcome.status in ("returned", "unreachable"):
            state.rate_limit.refund(now)
        elif (
            outcome.status == "not-run" and running.granted_at < state.rate_limit.since
        ):
            # The target refused what exceeded a limit that was not known here yet.
            return
        elif outcome.status in ("failed", "not-run", "vanished"):
            self._learn_failure(state, running, now)

    def _learn_failure(self, state, running, now):
        if self._paces.is_stale(state, running):
            return
        if state.on_failure(now, self._fleet.may_eject(now, state)):
            self._paces.begin(state, "ejection", now, state.ejected_until)

    def _learn_crash(self, state, running, outcome, now):
        """Record what an outcome tells of its target's crash.

        A request whose connection was refused did not run there. Those that ran
        may report their loss after the crash is known.
        """
        if outcome.status in ("vanished", "died"):
            self._trials.on_lost(state, running, now)
        if outcome.status in ("died", "unreachable") and not state.down:
            self._targets.on_crash(state.name, state.incarnation_id, now)
        elif outcome.status in ("vanished", "died") and state.down:
            self._trials.on_crash(state, state.incarnation_id, now)

    def _learn_lengths(self, state, work, outcome):
        if outcome.total_seconds is None:
            return
        self.has_outcomes = True
        if work.max_decode_tokens == 1:
            state.speed.learn_token_time(outcome.total_seconds)
            return
        if outcome.decode_tokens:
            self._lengths.learn(work.account, work.route, outcome.decode_tokens)
        before = outcome.first_seconds
        if before is None:
            before = work.prefill_tokens / state.speed.prefill_rate
        decoding = max(outcome.total_seconds - before, 0.0)
        state.speed.learn_decode(outcome.decode_tokens, decoding)
