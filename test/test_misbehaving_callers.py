"""Callers that misbehave: the process lives, keeps within its memory, and serves.

Floods and bounds follow from the requirement that a process stays within its memory:
each flood would take more than the callers' part of `memory_mb`, or block the loop
for longer than the hang guard, on a host without bounds.
"""

import asyncio
import itertools

import pytest

from test.caller_floods import (
    MAX_BODY_BYTES,
    check_sound,
    flood,
    host_process,
    post_head,
    settle,
    wait_for_fds,
)
from test.entry_builders import raw_request

# 30 bodies of 4 MB are 2.5 times what callers may take of 96 MB.
SENDERS = 30
LENGTH = MAX_BODY_BYTES
# One-byte chunks and requests sent ahead take a host longer than the hang guard.
BLOCKERS = 30
CHUNKS = 120_000
REQUESTS_AHEAD = 20_000
HEADS_AHEAD = 200
SOME_S = 3.0


def run(scenario, tmp_path, **options):
    async def play():
        async with host_process(tmp_path / "host.ini", **options) as host:
            await scenario(host)

    asyncio.run(play())


def in_one_piece(path):
    yield post_head(path, LENGTH) + bytes(LENGTH - 1)


def in_pieces(path):
    yield post_head(path, LENGTH)
    for _ in range(LENGTH // 16384 - 1):
        yield bytes(16384)


def in_chunks(path):
    yield post_head(path)
    for _ in range(LENGTH // 4096 - 1):
        yield b"1000\r\n" + bytes(4096) + b"\r\n"


def endless_chunks(path):
    yield post_head(path)
    while True:
        yield b"10000\r\n" + bytes(65536) + b"\r\n"


def one_byte_chunks(path):
    yield post_head(path) + b"1\r\na\r\n" * CHUNKS


def many_requests(path):
    yield raw_request(path, "r1") * REQUESTS_AHEAD


FORMS = {
    "whole": in_one_piece,
    "pieces": in_pieces,
    "chunks": in_chunks,
    "endless": endless_chunks,
}
PLACES = {
    "route": ("listen", "/file/x"),
    "no-route": ("listen", "/nothing/x"),
    "ready": ("ready", "/"),
    "directory": ("directory", "/resolve"),
    "metrics": ("metrics", "/"),
    "peers": ("peers", "/"),
}


@pytest.mark.parametrize("form", FORMS)
def test_unfinished_bodies_take_no_more_than_the_callers_memory(form, tmp_path):
    """Guards against holding every body that has been sent."""

    async def scenario(host):
        async with flood(host, SENDERS, lambda: FORMS[form]("/file/x")):
            await settle(host, SOME_S)
            await check_sound(host)

    run(scenario, tmp_path)


@pytest.mark.parametrize("place", [name for name in PLACES if name != "route"])
def test_unwanted_bodies_are_not_held(place, tmp_path):
    """Guards against reading bodies of requests that are refused anyway."""
    endpoint, path = PLACES[place]

    async def scenario(host):
        async with flood(host, SENDERS, lambda: in_one_piece(path), endpoint):
            await settle(host, SOME_S)
            await check_sound(host)

    run(scenario, tmp_path)


@pytest.mark.parametrize("place", PLACES)
def test_one_byte_chunks_do_not_stop_a_host(place, tmp_path):
    """Guards against parsing all that was sent without giving others a turn."""
    endpoint, path = PLACES[place]

    async def scenario(host):
        async with flood(host, BLOCKERS, lambda: one_byte_chunks(path), endpoint):
            await settle(host, SOME_S)
            await check_sound(host)
        await check_sound(host)

    run(scenario, tmp_path)


@pytest.mark.parametrize("place", PLACES)
def test_requests_sent_ahead_do_not_stop_a_host(place, tmp_path):
    """Guards against answering all of a connection's requests in one turn."""
    endpoint, path = PLACES[place]

    async def scenario(host):
        async with flood(host, BLOCKERS, lambda: many_requests(path), endpoint):
            await settle(host, SOME_S)
            await check_sound(host)
        await check_sound(host)

    run(scenario, tmp_path)


def test_many_empty_fields_do_not_stop_a_host(tmp_path):
    """Guards against unbounded work on one head."""

    def heads():
        yield raw_request("/nothing/x", "r1", headers=["a:"] * 3000) * HEADS_AHEAD

    async def scenario(host):
        async with flood(host, BLOCKERS, heads):
            await settle(host, SOME_S)
            await check_sound(host)

    run(scenario, tmp_path)


def test_long_chunk_extensions_do_not_stop_a_host(tmp_path):
    """Guards against bodies of which nearly all is framing."""

    def extensions():
        yield post_head() + (b"1;" + b"e" * 15000 + b"\r\na\r\n") * 200

    async def scenario(host):
        async with flood(host, SENDERS, extensions):
            await settle(host, SOME_S)
            await check_sound(host)

    run(scenario, tmp_path)


SHORT_LIMITS = {"header_timeout_ms": 300, "idle_timeout_ms": 900}


def test_a_body_that_comes_byte_by_byte_ends(tmp_path):
    """Guards against bodies that last for ever because each byte renews a time-out."""

    def bytewise():
        yield post_head("/file/x", LENGTH)
        while True:
            yield b"a"

    async def scenario(host):
        async with flood(host, SENDERS, bytewise, pause_s=0.1, reads=True):
            await settle(host, 1.0)
            await wait_for_fds(host, host.calm_fds + 5)
            await check_sound(host)

    run(scenario, tmp_path, limits=SHORT_LIMITS)


def test_half_a_head_ends(tmp_path):
    """Guards against connections that stop halfway and stay."""

    def half():
        yield raw_request("/read/x", "r1")[:30]

    async def scenario(host):
        async with flood(host, SENDERS, half, reads=True):
            await settle(host, 1.0)
            await wait_for_fds(host, host.calm_fds + 5)
            await check_sound(host)

    run(scenario, tmp_path, limits=SHORT_LIMITS)


_numbers = itertools.count()


def large_requests():
    for _ in range(20):
        yield raw_request("/read/x", f"large-{next(_numbers)}")


def test_unread_responses_end_and_take_bounded_memory(tmp_path):
    """Guards against responses that wait for a caller that never reads."""

    async def scenario(host):
        async with flood(host, SENDERS, large_requests):
            await settle(host, SOME_S)
            await check_sound(host)
            await wait_for_fds(host, host.calm_fds + 5)

    run(scenario, tmp_path, limits=SHORT_LIMITS)


@pytest.mark.parametrize(
    "endpoint", ["listen", "ready", "directory", "metrics", "peers"]
)
def test_open_connections_leave_descriptors_for_others(endpoint, tmp_path):
    """Guards against a process without a descriptor for its other listeners."""
    max_fds = 260

    async def scenario(host):
        async with flood(host, 300, lambda: iter(()), endpoint):
            assert await settle(host, 2.0) <= max_fds
            await check_sound(host)

    run(scenario, tmp_path, max_fds=max_fds)
