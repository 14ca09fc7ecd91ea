"""Services whose answers do not end, as the own runtime and the tools read them."""

import time
from types import SimpleNamespace

import pytest
import urllib3

from lovagepier.backing import HostList, StoreError, WeightStore, open_store
from lovagepier.backing._port import MAX_ANSWER_BYTES, MAX_ANSWER_TIMEOUTS
from lovagepier.http_pools import PoolManager, request_whole
from lovagepier.node._relay import TargetRequest
from lovagepier.targets import TargetBroken, create_adapter
from lovagepier.targets._http import MAX_TRANSFER_S, MAX_WHOLE_BYTES
from test.endless_server import FORMS, EndlessServer

TIMEOUT_S = 0.5
# What the kernel holds beside what was read.
BUFFERED_BYTES = 16 * 1024 * 1024
MARGIN_S = 1.0


@pytest.fixture(params=FORMS)
def server(request):
    server = EndlessServer(request.param)
    yield server
    server.close()


def cfg_for(server):
    return SimpleNamespace(
        platform_hosts=server.url,
        platform_weights=server.url,
        platform_store=server.url,
        platform_store_kind="etcd",
        platform_timeout=TIMEOUT_S,
        platform_calls_per_second=100.0,
    )


def assert_bounded(server, call, errors, max_bytes, seconds):
    began = time.monotonic()
    with pytest.raises(errors):
        call()
    assert time.monotonic() - began < seconds + MARGIN_S
    assert server.sent < max_bytes + BUFFERED_BYTES


# A host list without end grew the process by 430 MB in 4 s.
@pytest.mark.parametrize("service", [HostList, WeightStore])
def test_lists_of_the_platform_are_bounded(server, service):
    reader = service(cfg_for(server))
    assert_bounded(
        server,
        reader.read,
        StoreError,
        MAX_ANSWER_BYTES,
        TIMEOUT_S * MAX_ANSWER_TIMEOUTS,
    )


def test_answers_of_the_store_are_bounded(server):
    store = open_store(cfg_for(server))
    assert_bounded(
        server,
        lambda: store.get("k"),
        StoreError,
        MAX_ANSWER_BYTES,
        TIMEOUT_S * MAX_ANSWER_TIMEOUTS,
    )


def adapter_for(server, kind):
    target = SimpleNamespace(name="e1", address=server.url, adapter=kind)
    return create_adapter(target)


# A load report without end grew the process by 215 MB in 4 s.
@pytest.mark.parametrize("call", ["load", "known_ids"])
def test_reports_of_engines_are_bounded(server, call):
    adapter = adapter_for(server, "openai")
    assert_bounded(
        server,
        lambda: getattr(adapter, call)(TIMEOUT_S),
        TargetBroken,
        MAX_WHOLE_BYTES,
        TIMEOUT_S + MAX_TRANSFER_S,
    )


def read_answer(adapter):
    request = TargetRequest("POST", "/x", b"{}")
    return b"".join(adapter.dispatch(request, TIMEOUT_S).chunks)


@pytest.mark.parametrize("kind", ["openai", "http"])
def test_whole_answers_of_targets_are_bounded(server, kind):
    adapter = adapter_for(server, kind)
    assert_bounded(
        server,
        lambda: read_answer(adapter),
        TargetBroken,
        MAX_WHOLE_BYTES,
        TIMEOUT_S + MAX_TRANSFER_S,
    )


def test_a_whole_response_has_a_bound_in_bytes_and_time(server):
    assert_bounded(
        server,
        lambda: request_whole(
            PoolManager(), "GET", server.url, 100_000, 1.0, timeout=0.5
        ),
        urllib3.exceptions.HTTPError,
        100_000,
        1.0,
    )
