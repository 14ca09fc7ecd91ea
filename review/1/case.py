"""Case 1: a coordinator that was frozen completes a version that was rolled back."""

import asyncio
import base64
import itertools
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    NO_ANSWER,
    Deployment,
    ask,
    plain_service,
    put,
    request,
    route,
    run_case,
)

# TROUBLE=0 leaves out the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 7
PER_S = 20.0
DURATION_S = 20.0
FREEZE_AT_S = 16.75
FREEZE_S = 2.05
AFTER_S = 16.0
CONTACT_S = 3.0
ROLLBACK_S = 5.0
CANARY_SHARE, CANARY_SLACK = 0.1, 50
SERVICE = "lehu44b"


class Platform:
    """What the platform does at the states of a rollout."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.states = []

    async def watch(self):
        """Note each new state; stop the old workers at `completed`."""
        path = f"/kv-key?key=status/rollout/{SERVICE}"
        while True:
            await asyncio.sleep(0.02)
            try:
                status, item = await ask(self.deployment.store, "GET", path)
            except NO_ANSWER:
                continue
            if status != 200:
                continue
            document = json.loads(base64.b64decode(item["value"]))
            row = (item["revision"], document["state"])
            if self.states and self.states[-1][1:] == row:
                continue
            self.states.append((time.time(), *row))
            self.record(state=document, at=time.time(), revision=item["revision"])
            if document["state"] == "completed":
                for name in [n for n in self.deployment.workers if "old" in n]:
                    self.deployment.workers[name][1].kill()


async def send_all(deployment, until, answers):
    """Send requests at a steady rate, in turn to each host, until `until()`."""
    started = time.monotonic()
    tasks = []
    for number in itertools.count():
        if until():
            break
        host = deployment.hosts[number % len(deployment.hosts)]
        sending = request(host, "POST", "/puxa403/", f"{number}", 2000, body=b"x" * 700)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(started + number / PER_S - time.monotonic())
    answers += await asyncio.gather(*tasks)


async def coordinator(deployment):
    """Return the host that is the coordinator, by its metrics."""
    for host in deployment.hosts:
        reader, writer = await asyncio.open_connection(*host.metrics)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        for line in text.splitlines():
            name, _, value = line.rpartition(" ")
            if name.endswith("is_home") and float(value) == 1:
                return host
    raise RuntimeError("no coordinator")


async def case(record):
    """Return whether the bad version got no more requests than allowed."""
    deployment = Deployment(HOSTS)
    platform = Platform(deployment, record)
    answers, tasks = [], []
    is_done = asyncio.Event()
    frozen, woke_at = "", 0.0
    try:
        await deployment.start_store()
        await deployment.configure(
            3,
            [route("r-file", "/puxa403/", "non_idempotent", SERVICE, max_attempts=1)],
            [plain_service(SERVICE)],
        )
        for zone in deployment.ZONES:
            await deployment.start_worker(f"i-old-{zone}", SERVICE, zone)
        for host in deployment.hosts:
            deployment.start_host(host)
        for host in deployment.hosts:
            await deployment.ready(host)
        tasks = [
            asyncio.create_task(send_all(deployment, is_done.is_set, answers)),
            asyncio.create_task(platform.watch()),
        ]
        await asyncio.sleep(3.0)
        new = []
        for zone in deployment.ZONES:
            new.append(f"i-new-{zone}")
            await deployment.start_worker(new[-1], SERVICE, zone, version="v2")
        await asyncio.sleep(0.5)
        order = {"service": SERVICE, "target": "v2", "duration_s": DURATION_S}
        await put(deployment.store, f"op/rollout/{SERVICE}", order)
        ordered_at = time.time()
        record(ordered=order, at=ordered_at)
        await asyncio.sleep(FREEZE_AT_S)
        leader = await coordinator(deployment)
        if HAS_TROUBLE:
            frozen = leader.name
            leader.process.send_signal(signal.SIGSTOP)
            record(frozen=frozen, at=time.time())
        for name in new:
            await ask(deployment.workers[name][0], "GET", "/x-mode?how=bad")
        record(bad="v2", at=time.time())
        await asyncio.sleep(FREEZE_S)
        if HAS_TROUBLE:
            leader.process.send_signal(signal.SIGCONT)
        woke_at = time.time()
        record(woke=frozen, at=woke_at)
        await asyncio.sleep(AFTER_S)
        is_done.set()
        await tasks[0]
        lines = deployment.worker_lines()
    finally:
        for task in tasks:
            task.cancel()
        deployment.end()
    offset = time.time() - time.monotonic()
    sent = {a.id: (a.sent + offset, a.host) for a in answers}
    for answer in sorted(answers, key=lambda each: each.sent):
        record(**answer.line())
    for row in lines:
        record(**row)
    is_new = [row for row in lines if "new" in row["worker"]]
    bad = [row["at"] for row in is_new if row["what"] == "failed"]
    ran = [sent[row["id"]] for row in is_new if row["what"] == "run"]
    # A host that was frozen is in touch again after `contact_ms`.
    ran = [
        at
        for at, host in ran
        if host != frozen or at < woke_at - FREEZE_S or at > woke_at + CONTACT_S
    ]
    until = ordered_at + DURATION_S
    all_sent = sum(ordered_at <= at <= until for at, _ in sent.values())
    exposed = sum(ordered_at <= at <= until for at in ran)
    fiftieth = bad[49] if len(bad) >= 50 else float("inf")
    late = sum(at > fiftieth + ROLLBACK_S for at in ran)
    states = [state for _, _, state in platform.states]
    record(
        states=states,
        requests=len(answers),
        statuses={s: sum(a.status == s for a in answers) for s in (0, 200, 500, 503)},
        bad_answers=len(bad),
        exposed=exposed,
        allowed=CANARY_SHARE * all_sent + CANARY_SLACK,
        later_than_rollback_ms=late,
    )
    return exposed <= CANARY_SHARE * all_sent + CANARY_SLACK and not late


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
