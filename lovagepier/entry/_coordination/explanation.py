"""Explains where a request would go now, by the same code that decides on requests."""

from dataclasses import asdict

from lovagepier.decisions.placement.explanation import dry_run, view_targets
from lovagepier.decisions.placement.work import Grant, Refusal
from lovagepier.errors import error_spec

__all__ = ["explain_request"]


def explain_request(coordinator, entry, req, now):
    """Return the decision on a `DispatchRequest` of a host, as a dict for JSON.

    Nothing is changed: it is decided on copies of the quotas and of the scheduler.
    """
    if coordinator.poison_detector.is_poison(req.fingerprint):
        why = "targets died each time this body ran"
        return _refused("suspect-request", why, 0.0)
    quotas = coordinator.copy_quotas()
    refusal = quotas.check(req, now)
    if refusal is not None:
        return _refused(refusal.kind, refusal.why, refusal.retry_after)
    scheduler = coordinator.scheduler_of(req.service)
    if scheduler is None:
        return _refused("no-target", "no target of the service is known", 1.0)
    scheduler = dry_run(scheduler)
    work = coordinator.make_work(quotas, entry, req, now)
    targets = [asdict(row) for row in view_targets(scheduler, work, now)]
    ahead = sum(scheduler.waiting.sizes()[: work.tier + 1])
    for decision in scheduler.offer(work, now):
        if decision.work is work:
            answer = _answer(coordinator, decision)
            break
    else:
        answer = {
            "decision": "queued",
            "why": "waits for a slot that fits"
            if not work.awaits_cache
            else "waits for a target with its prefix in the cache",
            "ahead": ahead,
            "expected_wait_s": _finite(scheduler.expected_wait(work.tier)),
            "refused_in_s": _finite(work.latest_start - now),
        }
    return {**answer, "targets": targets}


def _answer(coordinator, decision):
    if isinstance(decision, Grant):
        return {
            "decision": "granted",
            "target": decision.target,
            "version": decision.version,
            "why": decision.why,
        }
    if isinstance(decision, Refusal):
        message = coordinator.refusal_message(decision)
        return _refused(message.kind, message.why, message.retry_after)
    return {"decision": "joined", "target": decision.target, "why": "runs already"}


def _refused(kind, why, retry_after):
    return {
        "decision": "refused",
        "kind": str(kind),
        "status": error_spec(kind).status,
        "why": why,
        "retry_after_s": round(retry_after, 2),
        "targets": [],
    }


def _finite(seconds):
    return round(seconds, 3) if abs(seconds) < 1e9 else None
