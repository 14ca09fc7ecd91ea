"""Wire formats of the platform: headers and stored documents."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier import platform
from lovagepier.entry.call import fingerprint
from test.entry_builders import KEY, config


def call(headers, method=b"POST", target=b"/a/b?c=1"):
    pairs = [(b"host", b"API.example:80"), (b"x-request-id", b"r1"), *headers]
    return platform.decode_call(method, target, pairs)


def test_a_calls_headers_are_decoded():
    decoded = call(
        [
            (b"x-token-count", b"1460,80"),
            (b"x-prompt-prefix", b"5c1e:800,91bd:410"),
            (b"x-length-hint", b"33"),
            (b"x-deadline-ms", b"2500"),
            (b"authorization", b"Token abc"),
            (b"last-event-id", b"12"),
        ]
    )
    assert (decoded.host, decoded.path, decoded.key) == ("api.example", "/a/b", "abc")
    assert (decoded.prompt_tokens, decoded.output_tokens) == (1460, 33)
    assert decoded.prefix_blocks == (("5c1e", 800), ("91bd", 410))
    assert (decoded.timeout_s, decoded.last_event_id) == (2.5, "12")


@pytest.mark.parametrize(
    "name, value",
    [
        (b"x-token-count", b"many,few"),
        (b"x-token-count", b"-1,5"),
        (b"x-deadline-ms", b"soon"),
        (b"x-deadline-ms", b"nan"),
        (b"x-prompt-prefix", b"::,a:b"),
        (b"x-length-hint", b"-4"),
    ],
)
def test_an_unreadable_header_counts_as_absent(name, value):
    decoded = call([(name, value)])
    assert (
        decoded.token_counts is None
        and decoded.timeout_s is None
        and decoded.prefix_blocks == ()
    )
    assert decoded.output_tokens_hint == 0


@pytest.mark.parametrize(
    "stated, rate",
    [(b"3.2", 3.2), (b"0", 0.0), (b"nan", None), (b"-1", None), (b"few", None)],
)
def test_a_targets_rate_limit_is_decoded(stated, rate):
    assert platform.decode_response(200, [(b"server-limit", stated)]).rate_limit == rate


def test_a_response_without_a_rate_limit_states_none():
    assert platform.decode_response(200, []).rate_limit == math.inf


def test_a_repeated_request_id_counts_as_missing():
    assert call([(b"x-request-id", b"r2")]).request_id == ""


def test_the_connection_header_cannot_remove_the_request_id():
    decoded = call([(b"connection", b"X-Request-Id, X-Other"), (b"x-other", b"1")])
    pairs = dict(platform.encode_call(decoded, 1.0, "i1", "blue", 0))
    assert pairs[b"x-request-id"] == b"r1"
    assert b"x-other" not in pairs and b"connection" not in pairs


@given(st.floats(0.0, 1000.0))
def test_a_target_never_gets_more_time_than_remains(remaining_s):
    pairs = dict(platform.encode_call(call([]), remaining_s, "i1", "", 0))
    assert int(pairs[b"x-deadline-ms"]) <= max(remaining_s * 1000, 1)


def test_the_last_event_id_replaces_the_callers_own():
    pairs = platform.encode_call(call([(b"last-event-id", b"2")]), 1.0, "i", "", 0)
    event_ids = [
        value
        for name, value in platform.with_last_event_id(pairs, "7")
        if name == b"last-event-id"
    ]
    assert event_ids == [b"7"]


def test_a_targets_statements_about_its_response_are_decoded():
    response = platform.decode_response(503, [(b"x-not-executed", b"1")])
    assert response.not_executed and not response.signed
    assert platform.decode_response(421, []).not_executed
    assert not platform.decode_response(503, [(b"x-server-seal", b"s")]).not_executed
    assert platform.decode_response(
        200, [(b"content-encoding", b"gzip")]
    ).content_encoded


def test_a_retry_has_the_same_fingerprint():
    first, second = call([]), call([])
    second.request_id = "r2"
    assert fingerprint(first) == fingerprint(second)
    second.body = b"x"
    assert fingerprint(first) != fingerprint(second)


def test_a_catalog_finds_the_longest_prefix():
    raw = config()
    raw["routes"].append({**raw["routes"][0], "name": "deep", "prefix": "/read/deep/"})
    raw["routes"].append({**raw["routes"][0], "name": "all", "prefix": "/"})
    catalog = platform.decode_catalog(json.dumps(raw).encode())
    find = catalog.find_route
    assert find("api.example", "/read/deep/x").name == "deep"
    assert find("api.example", "/read/deep").name == "read"
    assert find("api.example", "/read").name == "all"
    assert find("other.example", "/read/x") is None
    assert catalog.account_for_key(KEY).name == "blue"
    assert catalog.account_for_key("") is None


def test_a_request_id_always_gets_the_same_service_of_a_split_route():
    raw = config()
    raw["routes"][0]["traffic_split"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    catalog = platform.decode_catalog(json.dumps(raw).encode())
    route = catalog.find_route("api.example", "/read/x")
    drawn = [route.service_for(f"r{number}") for number in range(2000)]
    assert drawn == [route.service_for(f"r{number}") for number in range(2000)]
    assert 0.07 < drawn.count("b") / 2000 < 0.13


@given(st.binary(max_size=60) | st.builds(lambda v: json.dumps(v).encode(), st.none()))
def test_unreadable_documents_raise_document_error(data):
    for decode in (
        platform.decode_catalog,
        lambda raw: platform.decode_target("servers/a", raw),
        lambda raw: platform.decode_rollout(raw, 1),
        platform.decode_rollout_state,
    ):
        with pytest.raises(platform.DocumentError):
            decode(data)


def test_a_rollout_state_is_encoded_and_decoded():
    order = platform.decode_rollout(
        b'{"service":"m","target":"v2","duration_s":12}', revision=7
    )
    for state in ("running", "done", "taken-back"):
        data = platform.encode_rollout_state(order, state, 5.0)
        assert platform.decode_rollout_state(data) == (7, "v2", state, 5.0)
        assert json.loads(data)["target"] == "v2"
    assert json.loads(data)["state"] == "rolled_back"


def test_callers_patience_follows_from_the_route():
    raw = config()
    raw["routes"][2].update(target_latency_ms=600, gap_aim_ms=250)
    raw["routes"][3].update(target_latency_ms=400, gap_aim_ms=600)
    catalog = platform.decode_catalog(json.dumps(raw).encode())
    by_name = {route.name: route.patience_s for route in catalog.routes}
    assert by_name == {"read": 0.0, "file": 0.0, "talk": 2.4, "note": 4.8}
