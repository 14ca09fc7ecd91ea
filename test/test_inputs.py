"""Invalid input: settings, frames, prompts, keys and raw HTTP bytes."""

import json
import re
import socket
import uuid

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier import keys
from lovagepier.callers._records import key_created_at
from lovagepier.config import check_document, empty_document
from lovagepier.errors import ErrorKind, RunStatus, error_spec
from lovagepier.frames import CodecError, decode, encode
from lovagepier.peers import messages
from lovagepier.prompts import block_hashes, prompt_text
from lovagepier.settings import SettingsError, parse_settings

VALID_SETTINGS = """
[node]
name = n1
zone = a1
region = west
[callers]
listen = 127.0.0.1:8080
[operators]
listen = 127.0.0.1:8081
[peers]
listen = 127.0.0.1:8082
key = secret
[platform]
store = http://127.0.0.1:2379
"""
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def test_good_settings_are_read():
    cfg = parse_settings(VALID_SETTINGS)
    assert (cfg.node_name, cfg.callers_listen) == ("n1", ("127.0.0.1", 8080))
    assert cfg.ledger_horizon == 86400.0


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("[node]", "[nodes]", "[nodes]"),
        ("zone = a1", "zones = a1", "[node] zones"),
        ("zone = a1", "", "[node] zone is missing"),
        ("listen = 127.0.0.1:8080", "listen = nowhere", "[callers] listen"),
        ("listen = 127.0.0.1:8081", "listen = 127.0.0.1:8080", "is in use"),
        ("key = secret", "key = secret\ncertificate = x", "go together"),
        ("region = west", "region = west\nzone = b", "is not valid INI"),
        ("listen = 127.0.0.1:8080", "listen = 127.0.0.1:8080\nentry_ttl = 5", "unit"),
        ("http://127.0.0.1:2379", "ftp://x", "[platform] store"),
    ],
)
def test_each_fault_in_settings_is_one_message(old, new, words):
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID_SETTINGS.replace(old, new), "node.ini")
    message = str(caught.value)
    assert words in message and message.startswith("node.ini:")
    assert "\n" not in message


@given(st.text(max_size=300))
def test_any_other_text_raises_a_settings_error(text):
    with pytest.raises(SettingsError):
        parse_settings(text)


@given(st.binary(max_size=200))
def test_malformed_bytes_raise_a_codec_error(data):
    with pytest.raises(CodecError):
        decode(data)


@given(st.lists(_JSON, max_size=9), st.sampled_from(["ping", "ask", "evi", "cfg", "x"]))
def test_frames_with_wrong_fields_raise_only_codec_errors(fields, tag):
    data = cbor2.dumps([tag, 1, False, *fields])
    try:
        frame = decode(data)
    except CodecError:
        return
    if frame.message is None:
        assert (tag, frame.skipped) == ("x", len(fields))
        return
    read = cbor2.dumps([tag, 1, False, *fields[: len(fields) - frame.skipped]])
    assert encode(frame.message, frame.correlation, frame.is_reply) == read


def test_a_message_is_equal_after_encoding_and_decoding():
    body = messages.EvidenceUpdate([["m", "v2", "note", "n1/x", 5, 1, 0]])
    assert decode(encode(body, 7, True)).message == body


@given(_JSON)
def test_checking_any_document_raises_no_exception(value):
    faults = check_document(value)
    assert faults or value == empty_document()


@given(st.dictionaries(st.sampled_from(["messages", "prompt"]), _JSON, min_size=1))
def test_any_prompt_gives_text_or_a_value_error(fields):
    try:
        assert isinstance(prompt_text(fields), str)
    except ValueError:
        return


@given(st.text(max_size=2000), st.text(max_size=500))
def test_equal_prefixes_have_equal_blocks(text, tail):
    before = block_hashes(text)
    after = block_hashes(text + tail)
    assert after[: len(before)] == before


def test_every_error_kind_has_one_answer():
    for kind in ErrorKind:
        answer = error_spec(kind)
        assert 400 <= answer.status < 600
        assert isinstance(answer.run, RunStatus)


@given(st.text(max_size=50))
def test_api_keys_are_found_by_their_digest(key):
    assert keys.matches_any(key, [keys.digest(key)])
    assert keys.find_owner(key, {keys.digest(key): "blue"}) == "blue"
    assert keys.find_owner(key, {keys.digest(key + "x"): "blue"}) is None


def test_a_time_ordered_key_contains_its_creation_time():
    created = uuid.UUID(int=(1_700_000_000_000 << 80) | (7 << 76) | (2 << 62) | 5)
    assert key_created_at(str(created)) == 1_700_000_000.0
    assert key_created_at("plain") is None


MALFORMED_REQUESTS = [
    b"GARBAGE\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /v1/entries HTTP/1.1\r\nHost: x\r\nX-Big: " + b"a" * 40000 + b"\r\n\r\n",
]


@pytest.mark.parametrize("data", MALFORMED_REQUESTS)
def test_malformed_http_gets_an_error_answer_without_traceback(cluster, data):
    with socket.create_connection(("127.0.0.1", cluster.nodes["n1"].port), 5) as sock:
        sock.settimeout(5)
        sock.sendall(data)
        answer = sock.recv(65536)
    assert re.match(rb"HTTP/1\.[01] (4\d\d|5\d\d)", answer)
    assert b"Traceback" not in answer


def test_a_truncated_body_is_refused(cluster):
    head = (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer key-of-blue\r\nContent-Length: 100\r\n\r\n{}"
    )
    with socket.create_connection(("127.0.0.1", cluster.nodes["n1"].port), 5) as sock:
        sock.settimeout(5)
        sock.sendall(head)
        sock.shutdown(socket.SHUT_WR)
        with sock.makefile("rb") as answer:
            while line := answer.readline().strip():
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            body = json.loads(answer.read(length))
    assert (body["type"], body["run"]) == ("urn:lovagepier:error:bad-request", "no")


def test_a_peer_with_a_wrong_key_is_refused_and_the_node_keeps_serving(cluster, caller):
    host, _, port = cluster.nodes["n1"].peer.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.settimeout(5)
        sock.sendall(
            b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
            b"Authorization: Bearer wrong\r\n\r\n"
        )
        assert b" 401 " in sock.recv(4096)
    assert caller.record("GET", "/ledger/x").status == 200


def test_keys_appear_in_neither_logs_nor_the_time_line(cluster, caller):
    caller.record("GET", "/ledger/x")
    events = json.dumps(cluster.operator_call("GET", "/v1/events")[1])
    logs = "".join(node.log_text() for node in cluster.nodes.values())
    for secret in ("key-of-blue", "operator-key-of-the-trial", "peer-key-of-the"):
        assert secret not in events
        assert secret not in logs
