"""Builders of requests, schedulers and outcomes for tests."""

import random

from lovagepier.decisions.placement.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.placement.work import Outcome, Work

__all__ = ["completion", "ended", "make_scheduler", "make_work"]


def make_work(request_id="r1", **fields):
    """Return a `Work` with default values, replaced by `fields`."""
    values = {
        "id": request_id,
        "entry": "n1",
        "account": "blue",
        "tier": 1,
        "deadline": 100.0,
        "prefill_tokens": 100,
        "fingerprint": f"body-{request_id}",
    }
    values.update(fields)
    values.setdefault("late_tier", values["tier"] + 1)
    return Work(**values)


def make_scheduler(targets=("e1",), slots=2.0, **options):
    """Return a scheduler whose targets run version v1.

    `slots` is the initial limit of each target, `options` are `SchedulerOptions`.
    """
    scheduler = PoolScheduler(
        SchedulerOptions(initial_limit=slots, **options), random.Random(7)
    )
    scheduler.old_version = "v1"
    for name in targets:
        scheduler.set_target(name, "a1", "v1", "i1", 0.0)
    return scheduler


def ended(work, target="e1", status="ok", **fields):
    """Return the `Outcome` of a request; one that is not ok has no times."""
    values = {"first_seconds": 0.05, "total_seconds": 0.5, "decode_tokens": 20}
    if status != "ok":
        values = {"first_seconds": None, "total_seconds": None, "decode_tokens": 0}
    return Outcome(work.id, target, status, **{**values, **fields})


def completion(text="hello", tokens=10, stream=True, model="drafter", **fields):
    """Return the body of a model request whose response has `tokens` tokens."""
    content = f"{text} [[tokens={tokens}]]"
    return {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "stream": stream,
        **fields,
    }
