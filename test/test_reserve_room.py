"""Room for urgent requests, and early refusals, in a burst of long answers."""

from dataclasses import replace

import pytest
from structlog.testing import capture_logs

from lovagepier.decisions.queueing.reserve_room import ReserveRoom
from lovagepier.entry._cluster.messages import DispatchResult, Granted, Refused
from lovagepier.entry._settings import parse_entry_settings
from test.builders import ended, make_scheduler, make_work
from test.coordinator_builders import make_coordinator, make_request, make_view
from test.entry_builders import settings
from test.urgent_replay import ACCOUNTS, KINDS, Replay

LONG = {
    "tier": 6,
    "route": "long",
    "decode_tokens": 300.0,
    "deadline": 15.0,
    "latest_on_time_start": 2.0,
}


def make_room(urgent_tokens=50.0):
    """Return a `ReserveRoom` that was offered urgent and long requests at 0 s."""
    room = ReserveRoom()
    for number in range(100):
        room.on_offer(make_work(f"u{number}", tier=0, decode_tokens=urgent_tokens), 0.0)
        room.on_offer(make_work(f"l{number}", **LONG), 0.0)
    # Some that may wait come first: single requests are not refused early.
    for tokens in (300.0, 900.0):
        for _ in range(10):
            refuse(room, ahead=1, decode_tokens=tokens)
    return room


def refuse(room, ahead=400, rate=100.0, taken=1.0, now=0.0, **fields):
    work = make_work("r", **{**LONG, **fields})
    return room.refuse_early(work, ahead, rate, taken, now)


def test_a_late_request_is_refused_with_a_time_after_the_queue():
    # Guards against a Retry-After inside the burst, or one that callers don't honour.
    refusal = refuse(make_room(), draw=0.0)
    assert 4.0 <= refusal.retry_after <= 15.0 / 3
    assert refuse(make_room(), draw=0.9).retry_after > refusal.retry_after
    assert "400 ahead at 100/s need 4.0 s of 2.0 s left" in str(refusal)


@pytest.mark.parametrize(
    "case",
    [
        {"taken": 0.49},
        {"ahead": 0},
        {"ahead": 200},
        {"attempt": 1},
        # The caller would come back before the queue is gone.
        {"ahead": 600},
        {"decode_tokens": 900.0},
        {"now": 70.0, "deadline": 85.0, "latest_on_time_start": 72.0},
    ],
)
def test_a_request_that_may_wait_is_not_refused(case):
    assert refuse(make_room(), **case) is None


def test_a_pool_whose_kinds_do_not_differ_is_served_as_before():
    room = make_room(urgent_tokens=200.0)
    assert refuse(room) is None
    assert not room.waits_in_queue(make_work(tier=0), 500.0, 0.0)


def test_requests_refused_in_the_queue_come_back_late_in_their_time():
    # Guards against callers that come back into the burst after a second.
    room = make_room()
    late = make_work("l", **{**LONG, "tier": 8}, draw=0.5)
    assert 3.75 <= room.retry_after(late, 0.0) < 5.0
    assert room.retry_after(make_work(tier=0), 0.0) == 0.0
    assert make_room(urgent_tokens=200.0).retry_after(late, 0.0) == 0.0


@pytest.mark.parametrize("tokens, waiting", [(50.0, 12), (300.0, 24)])
def test_late_requests_that_cannot_start_are_refused_sooner(tokens, waiting):
    # Guards against refusals after seconds of waiting; a pool of one kind is as before.
    scheduler = make_scheduler((), tiers=9, demote_late=True, reserve_room=True)
    scheduler.set_target("e1", "a1", "v1", "i1", 0.0, slots=12)
    own = {**LONG, "deadline": 8.0, "soft_deadline": 1.0, "late_tier": 8}
    for number in range(12):
        scheduler.offer(make_work(f"u{number}", tier=0, decode_tokens=tokens), 0.0)
    for number in range(40):
        scheduler.offer(make_work(f"l{number}", **own), 0.0)
    scheduler.offer(make_work("m", tier=3, decode_tokens=tokens), 0.0)
    refused = scheduler.tick(1.5)
    assert scheduler.waiting.sizes()[8] == pytest.approx(waiting * 6.5 / 8, abs=1)
    assert {each.retry_after > 1.0 for each in refused} == {tokens == 50.0}


def test_no_kind_account_or_size_is_starved():
    # Guards against refusing all that one account, kind or size sends.
    room = make_room()
    refused = 0
    for _ in range(200):
        refused += refuse(room, account="green", now=1.0) is not None
    assert 90 <= refused <= 100


def test_an_account_that_sends_much_waits_for_itself_only():
    # Guards against refusing other accounts for one account's burst.
    scheduler = make_scheduler(slots=1.0)
    for number in range(41):
        scheduler.offer(make_work(f"b{number}", account="big"), 1.0)
    scheduler.offer(make_work("g", account="green"), 1.0)
    waiting = scheduler.waiting
    assert waiting.ahead_in_fair_order(make_work("b", account="big")) == 41
    assert waiting.ahead_in_fair_order(make_work("n", account="new")) == 2
    assert waiting.ahead_in_fair_order(make_work("n", account="new", weight=0.1)) == 11


@pytest.mark.parametrize("reserve_room", [False, True])
def test_urgent_requests_wait_for_any_place_where_places_are_freed_soon(reserve_room):
    # Guards against waiting at one full target while others free places.
    scheduler = make_scheduler((), tiers=9, reserve_room=reserve_room)
    for name in ("e1", "e2"):
        scheduler.set_target(name, "a1", "v1", "i1", 0.0, slots=2)
    urgent = {"tier": 0, "decode_tokens": 50.0}
    now = 1.0
    for grant in scheduler.offer(make_work("u0", **urgent), now):
        scheduler.finish(ended(grant.work, grant.target), now)
    for number in range(60):
        now += 1 / 50
        work = make_work(f"l{number}", tier=6, decode_tokens=300.0)
        for grant in scheduler.offer(work, now):
            if number < 56:
                scheduler.finish(ended(grant.work, grant.target), now)
    assert not scheduler.fleet.has_room(now)
    decisions = scheduler.offer(make_work("u1", **urgent), now)
    assert bool(decisions) is not reserve_room


def test_long_requests_allow_for_the_usual_time_to_the_first_event():
    # Guards against starts that are just too late.
    room = make_room()
    for tier in (0, 6):
        for _ in range(200):
            room.on_first_event(make_work(tier=tier), 0.1, 0.25)
    starts = [
        room.latest_on_time_start(make_work(tier=t, latest_on_time_start=2.0), 0.0)
        for t in (0, 6)
    ]
    assert starts == [2.0, pytest.approx(1.85, abs=0.01)]


# The load itself.


def share(calls, test):
    return sum(map(test, calls)) / len(calls)


def during(replay, kind, size="all"):
    return [c for c in replay.groups()[kind, size] if 10.0 <= c.at < 26.0]


def first_waits(replay):
    """Return how long long requests waited before their first refusal, in seconds."""
    waits = [c.refused[0][1] for c in during(replay, "long") if c.refused]
    return sum(waits) / len(waits)


def is_prompt(call):
    """Whether the try that was served was on time, as the entry host sees it."""
    return call.is_served and call.first_at - call.tried_at <= call.kind.objective


@pytest.mark.parametrize("step_growth", [0.16, 0.22])
def test_the_bursts_are_served_better_than_before(step_growth):
    before = Replay(1, step_growth=step_growth).run()
    after = Replay(1, step_growth=step_growth, reserve_room=True).run()
    assert all(call.is_on_time for call in during(after, "urgent"))
    assert not all(call.is_on_time for call in during(before, "urgent"))
    assert first_waits(after) < 0.75 * first_waits(before)
    old, new = during(before, "long"), during(after, "long")
    assert share(new, is_prompt) > share(old, is_prompt)
    assert share(new, lambda c: c.is_served) > share(old, lambda c: c.is_served) - 0.01
    check_none_starved(after)


def check_none_starved(replay):
    calls = during(replay, "urgent") + during(replay, "medium") + during(replay, "long")
    served = share(calls, lambda c: c.is_served)
    for kind in KINDS:
        assert share(during(replay, kind.name), lambda c: c.is_served) > served / 4
        for size in ("top", "fifth"):
            own = during(replay, kind.name, size)
            assert share(own, lambda c: c.is_served) > served / 2
    for account in ACCOUNTS:
        own = [call for call in calls if call.account == account]
        assert share(own, lambda c: c.is_served) > served / 4


@pytest.mark.parametrize("failure", ["takeover_at", "loss_at"])
def test_failures_in_the_burst(failure):
    """A takeover in the burst, or the loss of a third of the engines in it."""
    replay = Replay(1, reserve_room=True, **{failure: 13.0}).run()
    # Nothing is lost or run twice: each request ends with an answer or a refusal.
    for call in replay.calls:
        assert call.ended_at is not None or call.refused
        assert len(call.runs) <= (1 if failure == "takeover_at" else 2)
    assert not replay.waiting and not replay.running
    if failure == "takeover_at":
        # A new coordinator doesn't know yet how fast requests start.
        early = [at for c in replay.calls for at, _, why in c.refused if "ahead" in why]
        assert not any(13.0 <= at < 14.0 for at in early) and max(early) > 14.0
    assert share(during(replay, "urgent"), lambda c: c.is_on_time) > 0.99
    check_none_starved(replay)


def test_usual_load_is_served_as_before():
    # Guards against refusals or other placements while the load is not seen.
    kinds = [
        type(k)(k.name, k.tier, k.prompt, k.output, k.objective, k.limit, k.rate)
        for k in KINDS
    ]
    runs = [Replay(1, kinds=kinds, reserve_room=on).run(9.0) for on in (False, True)]
    assert not any(call.refused for call in runs[1].calls)
    assert [c.runs for c in runs[0].calls] == [c.runs for c in runs[1].calls]


def test_refusals_promise_that_nothing_ran():
    replay = Replay(1, reserve_room=True).run()
    assert replay.scheduler.room.decision.early_refusals
    for call in replay.calls:
        assert len(call.runs) + len(call.refused) == call.tries


# An entry host's coordinator.


def test_a_coordinator_states_early_refusals():
    # Guards against a setting that has no effect, and against lost charges.
    cfg = parse_entry_settings(settings("n1", 1, scheduling={"reserve_room": "on"}))
    sent = []
    view = make_view(1, 2)
    coordinator = make_coordinator(cfg, view, lambda entry, msg: sent.append(msg))
    now = 1.0
    running = []
    for number in range(400):
        now += 0.01
        for tier, tokens in ((0, 50), (2, 300)) if number < 20 else ((2, 300),):
            req = dispatch(f"r{tier}-{number}", tier, tokens)
            coordinator.on_dispatch_request("n1", req, now)
        running += [each for each in sent if isinstance(each, Granted)]
        sent[:] = [each for each in sent if isinstance(each, Refused)]
        if number % 2 == 0 or number < 20:
            done = running.pop(0)
            result = DispatchResult(done.id, done.target, "ok", 0.01, 0.02, 50)
            coordinator.on_result("n1", result, now)
    early = [each for each in sent if isinstance(each, Refused) and "ahead" in each.why]
    assert early
    assert {each.kind for each in early} == {"deadline-waiting"}
    assert all(1.0 < each.retry_after <= 5.0 for each in early)
    assert coordinator.room_counts()["early_refusals"] == len(early)
    with capture_logs() as logs:
        coordinator.tick(now)
        coordinator.tick(now + 3.0)
    lines = [each for each in logs if "early refusals" in each["event"]]
    assert [each["event"].split()[-1] for each in lines] == ["began", "ended"]


def dispatch(request_id, tier, tokens):
    return replace(
        make_request(request_id),
        tier=tier,
        route=f"r{tier}",
        decode_tokens=tokens,
        remaining_s=15.0,
        soft_deadline_s=1.0,
    )
