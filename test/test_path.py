"""Requests end to end over processes: callers, nodes, engines, records workers."""

import json
import re
import socket
import uuid
from concurrent.futures import ThreadPoolExecutor

import pytest

from lovagepier.client import Caller
from test.builders import completion
from trials.cluster import http_json, wait_until


def _tokens(reply):
    pattern = rb"([A-Za-z0-9_.-]+):(\d+) "
    return re.findall(pattern, reply.body)


@pytest.mark.parametrize("stream", [True, False])
def test_each_caller_gets_its_own_complete_answer(cluster, stream):
    def complete_one(number):
        name = "blue" if number % 2 else "piece"
        caller = Caller(cluster.addresses(), f"key-of-{name}", "a1")
        reply = caller.complete(completion(f"n{number}", 5 + number, stream))
        return name, 5 + number, reply

    with ThreadPoolExecutor(8) as threads:
        answers = list(threads.map(complete_one, range(24)))
    for name, tokens, reply in answers:
        assert (reply.status, reply.run, reply.is_complete) == (200, "yes", True)
        found = _tokens(reply)
        assert {owner.decode() for owner, _ in found} == {f"{name}.{reply.id}"}
        assert [int(n) for _, n in found] == list(range(tokens))


def test_engines_count_one_dispatch_for_each_id(cluster, caller):
    ids = [uuid.uuid4().hex for _ in range(10)]
    for request_id in ids:
        caller.complete(completion(tokens=3), request_id=request_id)
    dispatch_counts = cluster.dispatch_counts()
    assert {dispatch_counts[f"blue.{request_id}"] for request_id in ids} == {1}


def test_a_retry_with_the_same_id_joins_the_first_run(cluster, caller):
    first = caller.complete(completion(tokens=12), request_id="same-id")
    other = Caller(list(reversed(cluster.addresses())), "key-of-blue", "b1")
    again = other.complete(completion(tokens=12), request_id="same-id", attempts=1)
    assert again.body == first.body
    assert cluster.dispatch_counts()["blue.same-id"] == 1


def test_an_id_with_another_body_is_refused(cluster, caller):
    caller.complete(completion(tokens=4), request_id="body-id")
    again = caller.complete(completion("another", tokens=4), request_id="body-id")
    assert (again.status, again.error_kind(), again.run) == (422, "key-reused", "no")


def test_a_write_with_one_key_is_made_once_however_often_it_is_sent(cluster, caller):
    def send(_):
        each = Caller(cluster.addresses(), "key-of-blue", "a1")
        return each.record(
            "POST", "/ledger/entries", b"{}", key="once", deadline_ms=9000
        )

    with ThreadPoolExecutor(6) as threads:
        replies = list(threads.map(send, range(12)))
    assert {reply.status for reply in replies} == {201}
    assert len({reply.body for reply in replies}) == 1
    journal = cluster.journal("r1") + cluster.journal("r2")
    assert sum(entry["key"] == "once" for entry in journal) == 1


def test_a_key_with_another_body_is_refused(cluster, caller):
    caller.record("POST", "/ledger/entries", b"one", key="reused")
    again = caller.record("POST", "/ledger/entries", b"two", key="reused")
    assert (again.status, again.error_kind(), again.run) == (422, "key-reused", "no")


def test_a_write_without_a_key_is_refused(cluster, caller):
    reply = caller.record("POST", "/ledger/entries", b"{}")
    assert (reply.status, reply.error_kind(), reply.run) == (400, "key-required", "no")


def _post(cluster, body, **headers):
    request_headers = {"Authorization": "Bearer key-of-blue", **headers}
    url = f"{cluster.addresses()[0]}/v1/chat/completions"
    return http_json("POST", url, body, request_headers)


@pytest.mark.parametrize(
    ("body", "headers", "kind"),
    [
        ([], {}, "bad-request"),
        ({"model": "nobody"}, {}, "unknown-model"),
        ({"model": "drafter", "messages": 5}, {}, "bad-request"),
        ({"model": "drafter", "prompt": "x", "max_tokens": -1}, {}, "bad-request"),
        (completion(), {"X-Deadline-Ms": "-5"}, "bad-deadline"),
        (completion(), {"X-Deadline-Ms": "nan"}, "bad-deadline"),
        (completion(), {"X-Deadline-Ms": "1e99"}, "bad-deadline"),
        (completion(), {"X-Tier": "golden"}, "unknown-tier"),
        (completion(), {"X-Route": "nowhere"}, "unknown-route"),
        (completion(), {"X-Request-Id": "a b"}, "bad-request"),
        (completion(), {"Authorization": "Bearer nobody"}, "unauthenticated"),
    ],
)
def test_bad_input_gets_one_error_kind(cluster, body, headers, kind):
    status, answer = _post(cluster, body, **headers)
    assert answer["type"] == f"urn:lovagepier:error:{kind}"
    assert answer["run"] == "no"
    assert 400 <= status < 500


def test_a_caller_may_only_lower_its_tier(cluster):
    headers = {"Authorization": "Bearer key-of-piece", "X-Tier": "urgent"}
    status, answer = _post(cluster, completion(), **headers)
    assert (status, answer["type"]) == (400, "urn:lovagepier:error:unknown-tier")


def test_a_request_can_be_followed_across_processes(cluster, caller):
    reply = caller.complete(completion(tokens=3), request_id="followed")
    assert reply.status == 200
    path = "/v1/events?request=blue.followed"
    events = cluster.operator_call("GET", path)[1]["events"]
    words = [event["event"] for event in events]
    assert words.index("granted") < words.index("dispatched")
    assert words[-1] == "ended: ok"


def test_a_request_is_cancelled_when_its_caller_disconnects(cluster):
    body = json.dumps(completion(tokens=4000)).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer key-of-blue\r\nX-Request-Id: gone-away\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", cluster.nodes["n1"].port), 5) as sock:
        sock.sendall(head.encode() + body)
        assert b" 200 " in sock.recv(4096)

    def ended():
        path = "/v1/events?request=blue.gone-away"
        events = cluster.operator_call("GET", path)[1]["events"]
        return any(event["event"] == "ended: cancelled" for event in events)

    wait_until(ended, 10, "the end of the work")
    wasted = sum(cluster.counts(name)["wasted_prefill"] for name in cluster.engines)
    assert wasted > 0
