"""No document of another writer breaks a step after the one that decodes it."""

import asyncio
import dataclasses
import json
import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lovagepier import platform
from lovagepier.entry._cluster.messages import DispatchResult, Granted
from test import odd_documents
from test.entry_builders import HOST, KEY, config
from test.store_passage import (
    CONFIG,
    GOOD,
    DeltaLink,
    Host,
    dispatch_request,
    pass_through,
)


@settings(
    max_examples=400,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(st.lists(odd_documents.rows(), min_size=1, max_size=3))
def test_any_document_is_safe_for_every_later_step(rows):
    host = pass_through(rows)
    if not any(key == GOOD.key for key, _ in rows):
        assert host.view.target("good") is not None


@pytest.mark.parametrize("key, document", odd_documents.KINDS)
def test_no_value_of_any_field_breaks_a_later_step(key, document):
    order = ("op/rollout/ledger", json.dumps(odd_documents.ORDER).encode())
    for field in document:
        for value in odd_documents.HARD:
            odd = odd_documents.spoil(document, **{field: value})
            host = pass_through([order, (key, odd)])
            assert host.view.target("good") is not None, (field, value[:20])


@pytest.mark.parametrize("value", odd_documents.HARD, ids=lambda value: value[:12])
def test_no_value_of_a_configuration_breaks_a_later_step(value):
    for field, odd in odd_documents.configurations(value):
        host = pass_through([(platform.CONFIG_KEY, odd)])
        assert host.view.target("good") is not None, field


@pytest.mark.parametrize(
    "key, make",
    [(key, make) for _, key, make in odd_documents.ODD_TARGETS],
    ids=[name for name, _, _ in odd_documents.ODD_TARGETS],
)
def test_an_odd_entry_names_no_target(key, make):
    odd = (platform.TARGET_PREFIX + key, make(odd_documents.TARGET))
    host = pass_through([odd])
    assert set(host.view.targets) == {GOOD.key}


@pytest.mark.parametrize(
    "key, make",
    [(key, make) for _, key, make in odd_documents.ODD_TARGETS if key == "odd"],
    ids=[name for name, key, _ in odd_documents.ODD_TARGETS if key == "odd"],
)
def test_an_odd_entry_replaces_a_good_one_and_the_next_good_one_is_used(key, make):
    key = platform.TARGET_PREFIX + key
    good = json.dumps(odd_documents.TARGET).encode()
    odd = make(odd_documents.TARGET)
    assert key not in pass_through([(key, good), (key, odd)]).view.targets
    assert key in pass_through([(key, good), (key, odd), (key, good)]).view.targets


def test_odd_values_of_a_megabyte_do_not_fill_a_snapshot():
    rng = random.Random(3)
    rows = [(f"servers/odd{n}", rng.randbytes(700_000)) for n in range(8)]
    host = pass_through(rows)
    assert set(host.view.targets) == {GOOD.key}


@pytest.mark.parametrize(
    "fields",
    [
        {"cold_left_ms": "812.5"},
        {"seq": None, "cold_left_ms": None, "born": None},
        {"born": "0", "seq": "0", "slots": "1"},
        {"labels": '{"rack": ["r1"]}'},
        {"zone": '""', "version": '"v1 \u03b2"'},
        {"address": '"10.0.0.1:65535"'},
    ],
)
def test_a_plain_entry_names_a_target(fields):
    key = platform.TARGET_PREFIX + "w9"
    host = pass_through([(key, odd_documents.spoil(odd_documents.TARGET, **fields))])
    assert key in host.view.targets


def test_a_target_whose_entry_becomes_too_long_is_no_longer_used():
    key = platform.TARGET_PREFIX + "odd"
    good = json.dumps(odd_documents.TARGET).encode()
    long = odd_documents.spoil(odd_documents.TARGET, note=f'"{"n" * 100_000}"')
    host = pass_through([(key, good), (key, long)])
    assert set(host.view.targets) == {GOOD.key}


def test_a_delta_against_a_document_that_was_not_kept_is_not_applied():
    """Replays a sender of another version that could decode the document before."""
    key = platform.TARGET_PREFIX + "odd"
    before = b'{"a":1},' * 500
    after = before + json.dumps(odd_documents.TARGET).encode()

    async def scenario():
        sender, receiver = Host(), Host()
        sender.deltas = []
        for host in (sender, receiver):
            host.view.on_scan([CONFIG, GOOD], 5, 1.0)
            host.apply([(key, before, 6)])
        sender.view.items[key] = platform.Item(key, before, 6, 6)
        sender.replication.send_delta([])
        sender.replication.record_changes({key: sender.view.items[key]}, 6)
        sender.view.items[key] = platform.Item(key, after, 7, 6)
        sender.view.as_of = 7
        sender.replication.send_delta([DeltaLink(sender)])
        (delta,) = sender.deltas
        assert len(delta.packed) < len(after)
        receiver.replication.on_delta(delta)
        assert receiver.view.items[key].value in (b"", after)
        assert receiver.view.as_of == 6

    asyncio.run(scenario())


def test_entries_of_services_that_no_configuration_names_do_not_fill_a_roster():
    rows = [
        (f"servers/w{n}", odd_documents.spoil(odd_documents.TARGET, service=f'"s{n}"'))
        for n in range(60)
    ]
    host = pass_through(rows)
    assert set(host.coordinator.retry_levels()) <= {"ledger", "model"}


@pytest.mark.parametrize(
    "fields",
    [
        {"routes": [{**config()["routes"][0], "timeout_ms": 10**400}]},
        {"routes": [{**config()["routes"][0], "target_latency_ms": 10**400}]},
        {"routes": [{**config()["routes"][0], "priority": 10**400}]},
        {"limits": {"max_body_bytes": 10**400, "idle_timeout_ms": 1e308}},
        {"tenants": [{"name": "blue", "api_keys": [KEY], "rate_per_s": 10**400}]},
        {"services": [{"name": "ledger", "engine": {"stride": 10**400}}]},
    ],
)
def test_a_configuration_with_absurd_numbers_is_in_force(fields):
    value = json.dumps(config(3, **fields)).encode()
    host = pass_through([(platform.CONFIG_KEY, value)])
    assert host.view.version == 3


def test_an_order_or_verdict_under_another_key_is_not_used():
    host = pass_through(
        [
            (
                "op/rollout/ledger",
                odd_documents.spoil(odd_documents.ORDER, service='"a"'),
            ),
            ("lovagepier/poison/x", b'{"name": "x"}'),
            ("lovagepier/hosts/n2.b", json.dumps(odd_documents.HOST).encode()),
        ]
    )
    assert not host.view.orders and not host.view.poisoned
    assert set(host.view.members()) == set()


def test_an_unreadable_state_of_a_rollout_is_written_again():
    order = ("op/rollout/ledger", json.dumps(odd_documents.ORDER).encode())
    host = pass_through([order, ("status/rollout/ledger", b"[" * 100_000)])
    key, value, expected = host.written[-1]
    assert (key, expected) == ("status/rollout/ledger", 7)
    assert json.loads(value)["state"] == "running"


@pytest.mark.parametrize(
    "fields",
    [{"prefill_tokens": 10**400}, {"decode_tokens": 10**400}, {"decode_tokens": -5}]
    + [{"prefix_blocks": [["b", 10**400], ["c", 1]]}],
)
def test_a_count_from_a_host_of_another_version_stops_no_target(fields):
    async def scenario():
        host = Host()
        host.view.on_scan([CONFIG, GOOD], 5, 1.0)
        host.coordinator.refresh(100.0)
        odd = dataclasses.replace(dispatch_request("odd"), **fields)
        host.coordinator.on_dispatch_request("n2", odd, 100.1)
        huge = DispatchResult("odd", "good", "ok", 0.1, 0.2, 10**400)
        host.coordinator.on_result("n2", huge, 100.2)
        for number in range(6):
            before = len(host.sent)
            request = dispatch_request(number)
            host.coordinator.on_dispatch_request("n1", request, 101.0 + number)
            (granted,) = host.sent[before:]
            assert isinstance(granted, Granted)
            done = DispatchResult(granted.id, granted.target, "ok", 0.01, 0.02, 3)
            host.coordinator.on_result("n1", done, 101.1 + number)

    asyncio.run(scenario())


@pytest.mark.parametrize("text", [b"\xb2", b"9" * 400, b"1" * 5000, b"-1", b"1e400"])
@pytest.mark.parametrize(
    "name, form",
    [
        (b"x-token-count", b"%b,%b"),
        (b"x-length-hint", b"%b"),
        (b"x-prompt-prefix", b"b:%b"),
        (b"x-deadline-ms", b"%b"),
    ],
)
def test_a_number_of_a_caller_that_is_out_of_range_counts_as_absent(name, form, text):
    value = form % ((text,) * form.count(b"%b"))
    pairs = [(b"host", HOST.encode()), (b"x-request-id", b"r"), (name, value)]
    call = platform.decode_call(b"GET", b"/read/x", pairs)
    assert call.token_counts is None and call.prefix_blocks == ()
    assert call.output_tokens_hint == 0 and call.timeout_s is None
    assert platform.decode_response(200, [(b"keep-alive", b"timeout=" + text)])


@pytest.mark.parametrize("target", ["//[", "http://[/resolve", "/resolve?a=%ff"])
def test_a_lookup_of_any_target_raises_nothing(target):
    assert platform.decode_lookup(target) in (None, ("", ""))
