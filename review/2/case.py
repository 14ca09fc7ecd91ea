"""Case 2: a new version of a large configuration stops hosts for many seconds."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    NO_ANSWER,
    Deployment,
    ask,
    plain_service,
    request,
    route,
    run_case,
)

# TROUBLE=0 leaves out the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = 700
TIMEOUT_MS = 2000
NEW_TIMEOUT_MS = 1900
LATE_S = 0.5
PER_S = 20.0
BEFORE_S = 4.0
AFTER_S = 25.0
SERVICES = ("huvo11a", "wuno96b")


def routes(timeout_ms):
    """Return the routes of a version: all are split between the two services."""
    split = [
        {"service": name, "weight": w}
        for name, w in zip(SERVICES, (90, 10), strict=True)
    ]
    rows = []
    for number in range(ROUTES):
        row = route(f"r-{number:05d}", f"/p{number:05d}/", "idempotent", SERVICES[0])
        del row["service"]
        rows.append({**row, "timeout_ms": timeout_ms, "traffic_split": split})
    return rows


async def send_all(deployment, until, answers):
    """Send requests at a steady rate, in turn to each host, until `until()`."""
    started = time.monotonic()
    tasks = []
    for number in itertools.count():
        if until():
            break
        host = deployment.hosts[number % len(deployment.hosts)]
        prefix = f"/p{number * 37 % ROUTES:05d}/"
        sending = request(host, "GET", prefix, f"{number}", TIMEOUT_MS)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(started + number / PER_S - time.monotonic())
    answers += await asyncio.gather(*tasks)


async def probe(host, record, until, waits):
    """Ask /ready once a second, as the platform does."""
    while not until():
        at = time.monotonic()
        try:
            status, _ = await ask(host.ready, "GET", "/ready", timeout_s=30.0)
        except NO_ANSWER:
            status = 0
        took = time.monotonic() - at
        waits.setdefault(host.name, []).append(took)
        record(ready=host.name, at=round(at, 3), status=status, took=round(took, 3))
        await asyncio.sleep(max(1.0 - took, 0.0))


async def case(record):
    """Return whether requests got their answer at their route's timeout."""
    deployment = Deployment(3)
    answers, waits = [], {}
    is_done = asyncio.Event()
    try:
        await deployment.start_store()
        services = [plain_service(name) for name in SERVICES]
        await deployment.configure(3, routes(TIMEOUT_MS), services)
        for service, (number, zone) in itertools.product(
            SERVICES, enumerate(deployment.ZONES)
        ):
            await deployment.start_worker(f"{service}-{number}", service, zone)
        for host in deployment.hosts:
            deployment.start_host(host)
        for host in deployment.hosts:
            await deployment.ready(host)
        tasks = [
            asyncio.create_task(send_all(deployment, is_done.is_set, answers)),
            *(
                asyncio.create_task(probe(host, record, is_done.is_set, waits))
                for host in deployment.hosts
            ),
        ]
        await asyncio.sleep(BEFORE_S)
        changed_at = time.monotonic()
        if HAS_TROUBLE:
            await deployment.configure(7, routes(NEW_TIMEOUT_MS), services)
            record(changed="version 7", at=round(changed_at, 3))
        await asyncio.sleep(AFTER_S)
        is_done.set()
        await asyncio.gather(*tasks)
        for row in deployment.worker_lines():
            record(**row)
    finally:
        deployment.end()
    for answer in answers:
        record(**answer.line())
    before = [a for a in answers if a.sent < changed_at]
    unanswered = [a for a in answers if a.ended - a.sent > TIMEOUT_MS / 1e3]
    late = [a for a in unanswered if a.ended - a.sent > TIMEOUT_MS / 1e3 + LATE_S]
    record(
        requests=len(answers),
        served=sum(a.status == 200 for a in answers),
        before=len(before),
        served_before=sum(a.status == 200 for a in before),
        unanswered_at_timeout=len(unanswered),
        unanswered_half_a_second_later=len(late),
        longest_wait_for_ready={name: round(max(w), 3) for name, w in waits.items()},
    )
    if sum(a.status == 200 for a in before) < len(before):
        raise RuntimeError("not all requests before the change were served")
    return not (len(late) >= 8 and len(late) > len(unanswered) / 2)


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
