"""The fault soak: entry hosts as processes, faults from a seed, promises checked.

What callers were told is compared with what targets ran.
"""

import argparse
import asyncio
import contextlib
import random
import re
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from test.entry_builders import raw_request, read_response
from test.old_builds import extract_build
from trials.soak_faults import Faults
from trials.soak_fleet import STREAM_EVENTS, Fleet

__all__ = ["main", "run_soak"]

CALLERS = 24
CALLER_PAUSE_S = 0.15
CALL_TIMEOUT_S = 6.0
# Faults come for one time after the other, each followed by a calm one in which all
# hosts have to serve again.
SEGMENT_S = 6.0
CALM_S = 3.0
SETTLE_S = 15.0
PLANNED_FRACTION = 0.3
ROUTES = ("read", "file", "talk", "note")
ONCE = ("file", "note")
# A host has read a request whose connection ends later than this without an answer.
LOSS_SLACK_S = 0.2
# These statuses promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
WRONGLY_DENIED = (400, 401, 403, 404, 413, 422, 431)


@dataclass(slots=True)
class Unanswered:
    """A request whose connection ended without an answer; times are monotonic."""

    request: str
    route: str
    host: str
    sent_at: float
    ended_at: float


class Book:
    """What callers were told, what targets ran, and which promises were broken."""

    def __init__(self):
        self.statuses = Counter()
        self.faults = Counter()
        self.findings = []
        self.not_run = {}
        self.unanswered = []
        self.requests = 0

    def find(self, kind, **facts):
        """Record a broken promise."""
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self.findings.append(f"{kind}: {text}")


class Caller:
    """Sends requests one after the other and keeps its connection until it ends."""

    def __init__(self, number, fleet, rng):
        self._name = f"c{number}"
        self._fleet = fleet
        self._rng = rng
        self._host = None
        self._reader = self._writer = None

    async def run(self, until):
        """Send requests until `until()` is true."""
        number = 0
        while not until():
            number += 1
            await self._call(f"{self._name}-{number}", self._rng.choice(ROUTES))
            await asyncio.sleep(self._rng.uniform(0, 2 * CALLER_PAUSE_S))
        self._close()

    def _close(self):
        if self._writer is not None:
            self._writer.transport.abort()
            self._reader = self._writer = None

    async def _connect(self):
        hosts = self._fleet.live_hosts()
        if not hosts:
            return False
        self._host = self._rng.choice(hosts)
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    *self._host.address
                )
        except (OSError, TimeoutError):
            return False
        return True

    async def _call(self, request_id, name):
        book = self._fleet.book
        if self._reader is not None and self._reader.at_eof():
            self._close()
        if self._writer is None and not await self._connect():
            book.statuses["no connection"] += 1
            return
        book.requests += 1
        method = "POST" if name == "file" else "GET"
        body = request_id.encode() * 20 if name == "file" else b""
        headers = ["X-Deadline-Ms: 3000"]
        sent_at = time.monotonic()
        self._writer.write(
            raw_request(
                f"/{name}/x", request_id, method=method, headers=headers, body=body
            )
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await read_response(self._reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            book.statuses[type(exc).__name__] += 1
            book.unanswered.append(
                Unanswered(request_id, name, self._host.name, sent_at, time.monotonic())
            )
            self._close()
            return
        book.statuses[response.status] += 1
        self._check(request_id, name, response)
        if not response.is_complete or response.headers.get("connection") == "close":
            self._close()

    def _check(self, request_id, name, response):
        book = self._fleet.book
        facts = {"request": request_id, "route": name, "host": self._host.name}
        if response.status in NOT_RUN:
            book.not_run[request_id] = response.status
        if response.status in WRONGLY_DENIED:
            book.find("denied", status=response.status, **facts)
        if response.status != 200 or not response.is_complete:
            return
        if "x-server-seal" not in response.headers:
            book.find("unsigned success", **facts)
        if response.headers.get("x-request-id") != request_id:
            book.find("answer of another request", **facts)
        if name in ("read", "file"):
            if response.body != b"done " + request_id.encode():
                book.find("wrong body", body=response.body[:40], **facts)
            return
        ids = [int(number) for number in re.findall(rb"(?m)^id: (\d+)$", response.body)]
        if ids != list(range(1, STREAM_EVENTS + 1)):
            book.find("wrong events", ids=ids, **facts)


def _check_runs(fleet, book, planned):
    """Compare what callers were told with what targets ran."""
    runs = fleet.runs()
    for request_id, status in book.not_run.items():
        if runs[request_id]:
            book.find("told not run", request=request_id, status=status)
    for request_id, name in fleet.routes_run().items():
        if name in ONCE and runs[request_id] > 1:
            book.find("ran twice", request=request_id, route=name)
    for lost in book.unanswered:
        seconds = lost.ended_at - lost.sent_at
        was_read = runs[lost.request] or seconds > LOSS_SLACK_S
        if was_read and any(
            a <= lost.sent_at and lost.ended_at <= b for a, b in planned
        ):
            book.find(
                "no answer in planned work",
                request=lost.request,
                route=lost.route,
                host=lost.host,
                ran=runs[lost.request],
                seconds=round(seconds, 2),
            )


async def _settle(fleet, book):
    """Check that all hosts serve again within `SETTLE_S` after all faults."""
    end = time.monotonic() + SETTLE_S
    waiting = list(fleet.hosts)
    number = 0
    while waiting and time.monotonic() < end:
        for host in list(waiting):
            number += 1
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                async with asyncio.timeout(3.0):
                    reader, writer = await asyncio.open_connection(*host.address)
                    writer.write(raw_request("/read/x", f"settle-{number}"))
                    response = await read_response(reader)
                    writer.close()
                if response.status == 200:
                    waiting.remove(host)
        await asyncio.sleep(0.1)
    for host in waiting:
        book.find("does not serve after the faults", host=host.name)


async def run_soak(seed, seconds, folder, old_build=None):
    """Play faults of a seed for a time; return the `Book`.

    With `old_build`, a folder with its package, hosts are also replaced by the other
    build.
    """
    rng = random.Random(seed)
    book = Book()
    fleet = Fleet(folder, book, old_build)
    planned = []
    callers = []
    is_over = False
    try:
        await fleet.start()
        await _settle(fleet, book)
        callers = [
            asyncio.create_task(
                Caller(n, fleet, random.Random(f"{seed}/{n}")).run(lambda: is_over)
            )
            for n in range(CALLERS)
        ]
        faults = Faults(fleet, rng)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            planned_only = rng.random() < PLANNED_FRACTION
            began = time.monotonic()
            await faults.run(min(SEGMENT_S, end - began), planned_only)
            if planned_only:
                planned.append((began, time.monotonic()))
            await asyncio.sleep(CALM_S)
            await _settle(fleet, book)
        is_over = True
        await asyncio.gather(*callers)
        await asyncio.sleep(1.0)
        _check_runs(fleet, book, planned)
    finally:
        for caller in callers:
            caller.cancel()
        await fleet.close()
    return book


def main(argv=None):
    """Soak with seeds in turn for a time; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--seconds-a-seed", type=float, default=30.0)
    parser.add_argument("--old", help="commit of another build, from the history")
    parser.add_argument("--logs", type=Path, help="keep the hosts' logs in this folder")
    args = parser.parse_args(argv)
    end = time.monotonic() + args.minutes * 60.0
    broken = 0
    seed = args.seed
    while time.monotonic() < end:
        with tempfile.TemporaryDirectory(prefix="soak-") as scratch:
            folder = args.logs / str(seed) if args.logs else Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            old_build = None
            if args.old:
                old_build = extract_build(args.old, folder / "old-build")
            book = asyncio.run(run_soak(seed, args.seconds_a_seed, folder, old_build))
        served = book.statuses[200]
        print(
            f"seed {seed}: {book.requests} requests, {served} served, "
            f"{sum(book.faults.values())} faults, {len(book.findings)} promises broken",
            flush=True,
        )
        for finding in book.findings[:20]:
            print(f"  {finding}")
        print(f"  answers {dict(book.statuses)}")
        print(f"  faults {dict(book.faults)}", flush=True)
        broken += len(book.findings)
        seed += 1
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
