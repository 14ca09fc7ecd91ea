"""Names and formats of the platform: decoded once, nothing forged, nothing lost."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier import platform
from lovagepier.entry.call import fingerprint
from test.entry_builders import KEY, config


def call(headers, method=b"POST", target=b"/a/b?c=1"):
    pairs = [(b"host", b"API.example:80"), (b"x-request-id", b"r1"), *headers]
    return platform.decode_call(method, target, pairs)


def test_a_call_is_decoded_into_what_it_says():
    made = call(
        [
            (b"x-token-count", b"1460,80"),
            (b"x-prompt-prefix", b"5c1e:800,91bd:410"),
            (b"x-length-hint", b"33"),
            (b"x-deadline-ms", b"2500"),
            (b"authorization", b"Token abc"),
            (b"last-event-id", b"12"),
        ]
    )
    assert (made.host, made.path, made.key) == ("api.example", "/a/b", "abc")
    assert (made.prompt_tokens, made.output_tokens) == (1460, 33)
    assert made.prefix_blocks == (("5c1e", 800), ("91bd", 410))
    assert (made.timeout_s, made.last_event_id) == (2.5, "12")


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
def test_what_cannot_be_read_is_neutral(name, value):
    made = call([(name, value)])
    assert (
        made.token_counts is None
        and made.timeout_s is None
        and made.prefix_blocks == ()
    )
    assert made.output_tokens_hint == 0


def test_two_request_ids_are_none():
    assert call([(b"x-request-id", b"r2")]).request_id == ""


def test_a_callers_connection_header_cannot_remove_what_identifies_it():
    made = call([(b"connection", b"X-Request-Id, X-Other"), (b"x-other", b"1")])
    pairs = dict(platform.encode_call(made, 1.0, "i1", "blue", 0))
    assert pairs[b"x-request-id"] == b"r1"
    assert b"x-other" not in pairs and b"connection" not in pairs


@given(st.floats(0.0, 1000.0))
def test_a_target_is_never_given_more_time_than_is_left(left):
    pairs = dict(platform.encode_call(call([]), left, "i1", "", 0))
    assert int(pairs[b"x-deadline-ms"]) <= max(left * 1000, 1)


def test_a_position_replaces_the_callers_own():
    pairs = platform.encode_call(call([(b"last-event-id", b"2")]), 1.0, "i", "", 0)
    positions = [
        value
        for name, value in platform.with_last_event_id(pairs, "7")
        if name == b"last-event-id"
    ]
    assert positions == [b"7"]


def test_an_answers_promises():
    answer = platform.decode_response(503, [(b"x-not-executed", b"1")])
    assert answer.not_executed and not answer.signed
    assert platform.decode_response(421, []).not_executed
    assert not platform.decode_response(503, [(b"x-server-seal", b"s")]).not_executed
    assert platform.decode_response(
        200, [(b"content-encoding", b"gzip")]
    ).content_encoded


def test_the_fingerprint_is_of_what_comes_again():
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


def test_split_routes_send_each_request_the_same_way():
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
def test_documents_that_cannot_be_read_raise_one_error(data):
    for decode in (
        platform.decode_catalog,
        lambda raw: platform.decode_target("servers/a", raw),
        lambda raw: platform.decode_rollout(raw, 1),
        platform.decode_rollout_state,
    ):
        with pytest.raises(platform.DocumentError):
            decode(data)


def test_a_moves_state_is_told_and_read_back():
    order = platform.decode_rollout(
        b'{"service":"m","target":"v2","duration_s":12}', revision=7
    )
    for state in ("running", "done", "taken-back"):
        data = platform.encode_rollout_state(order, state, 5.0)
        assert platform.decode_rollout_state(data) == (7, state, 5.0)
        assert json.loads(data)["target"] == "v2"
    assert json.loads(data)["state"] == "rolled_back"
