"""The parts of a host that documents of the store pass through, without a network."""

import asyncio
import contextlib
import io
import ipaddress
import json
import random

import structlog

from lovagepier import logs, platform
from lovagepier.entry._cluster.candidates import Candidates
from lovagepier.entry._cluster.capacity import CapacityShares
from lovagepier.entry._cluster.followers import Followers
from lovagepier.entry._cluster.links import LinkCounts
from lovagepier.entry._cluster.messages import DispatchRequest, DispatchResult, Granted
from lovagepier.entry._cluster.outgoing import OutgoingLinks
from lovagepier.entry._cluster.replication import Replication
from lovagepier.entry._coordination.coordinator import Coordinator
from lovagepier.entry._coordination.verdicts import Verdicts
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._store.view import StoreView
from lovagepier.entry._targets.conn import TargetConnection
from lovagepier.frames import MAX_FRAME_BYTES, decode, encode
from test import odd_documents
from test.entry_builders import HOST, config
from test.entry_builders import settings as host_settings

CFG = parse_entry_settings(host_settings("n1", 1))
# A line of the log is read by people and shipped by collectors that cut long lines.
MAX_LINE = 4000
GOOD = platform.Item(
    platform.TARGET_PREFIX + "good", json.dumps(odd_documents.TARGET).encode(), 2, 2
)
CONFIG = platform.Item(platform.CONFIG_KEY, json.dumps(config(2)).encode(), 1, 1)


@contextlib.contextmanager
def captured_log():
    """Write the log to a list of lines, as a process does."""
    before = structlog.get_config()
    stream = io.StringIO()
    logs.set_up_logs(stream=stream)
    try:
        yield stream
    finally:
        structlog.configure(**before)


def send(message):
    """Return a message as its receiver has it; a frame has a size limit."""
    data = encode(message)
    assert len(data) <= MAX_FRAME_BYTES
    return decode(data).message


def dispatch_request(number, service="ledger", route="read"):
    return DispatchRequest(
        f"r{number}", service, "blue", route, 5, 3.0, 0.5, 10, 5, [["b", 4]], "f",
        "a1", 0, [], 1.0,
    )  # fmt: skip


class _Link:
    peer = "n2"
    boot = None


class _Transport(asyncio.Transport):
    def write(self, data):
        self.data = data


class Host:
    """The parts of a host that what is in the store passes through."""

    def __init__(self):
        self.view = StoreView()
        self.sent = []
        self.written = []
        self.coordinator = Coordinator(
            CFG,
            self.view,
            random.Random(1),
            lambda entry, message: self.sent.append(send(message)),
            lambda *row: self.written.append(row),
        )
        self.verdicts = Verdicts(
            self.view, self.coordinator.poison_detector, self._write
        )
        self.replication = Replication(self.view, lambda keys: None)
        self.followers = Followers(CFG, self.view, self.coordinator, "boot")
        links = OutgoingLinks(None, None, None, LinkCounts())
        self.candidates = Candidates(CFG, self.view, links, self.followers, "boot")
        self.now = 100.0

    def _write(self, key, value):
        self.written.append((key, value))

    def apply(self, rows):
        """Apply events as they come from the store."""
        events = [
            platform.Event(key, revision, platform.Item(key, value, revision, revision))
            for key, value, revision in rows
        ]
        self.replication.record_changes(
            {event.key: self.view.items.get(event.key) for event in events},
            self.view.as_of,
        )
        self.view.on_events(events, rows[-1][2], self.now)

    def use(self):
        """Take each step that uses the view."""
        now = self.now = self.now + 1.0
        self.verdicts.read(now)
        names = self.candidates.names([])
        assert all(
            isinstance(address, tuple)
            for address in self.candidates.wanted_links([]).values()
        )
        assert names
        target_share, quota_share = CapacityShares(self.view).compute(1, False, now)
        for share in (target_share, 0.01, 1.0):
            self.coordinator.set_share(share, quota_share, now)
        self.coordinator.refresh(now)
        self.coordinator.tick(now)
        self.coordinator.rollouts.write_states(now)
        self.verdicts.write(now)
        send(self.followers.roster(_Link()))
        for target in self.view.targets.values():
            self.use_target(target)
        self.request(len(self.sent))
        self.view.expire_lapsed(now)

    def use_target(self, target):
        """Open a connection to a target and send it a request, but for the network."""
        ipaddress.ip_address(target.host)
        assert isinstance(target.port, int) and 0 < target.port < 65536
        send(Granted("r", target.id, target.incarnation, "new", "why"))
        catalog = self.view.catalog
        service = catalog.services.get(target.service) if catalog else None
        tokens = 2 * (service.tokens_per_event if service else 1)
        assert 0 <= tokens < 2**53
        conn = TargetConnection()
        conn.connection_made(_Transport())
        pairs = [(b"host", HOST.encode()), (b"x-request-id", b"r")]
        call = platform.decode_call(b"GET", b"/read/x", pairs)
        account = next(iter(catalog.accounts), "") if catalog else ""
        headers = platform.encode_call(call, 1.0, target.id, account, 0)
        conn.send(call.method, call.target, headers, b"")

    def request(self, number):
        """Have a request granted or refused, and its result counted."""
        for service in {"ledger", *self.view.catalog.services}:
            before = len(self.sent)
            req = send(dispatch_request(f"{number}-{service}", service))
            self.coordinator.on_dispatch_request("n1", req, self.now)
            for answer in self.sent[before:]:
                if isinstance(answer, Granted):
                    done = DispatchResult(answer.id, answer.target, "ok", 0.1, 0.2, 3)
                    self.coordinator.on_result("n1", send(done), self.now + 0.2)


def follow(host):
    """Return a host that had the configuration and gets the rest from `host`."""
    follower = Host()
    follower.view.on_scan([CONFIG, GOOD], 5, 1.0)
    for delta in host.deltas:
        follower.replication.on_delta(delta)
    restarted = Host()
    restarted.replication.on_snapshot(send(host.replication.snapshot()))
    return follower, restarted


class DeltaLink:
    """A link that collects the deltas that a host sends."""

    def __init__(self, host):
        self._host = host

    def send(self, message):
        self._host.deltas.append(send(message))


def pass_through(rows):
    """Pass documents through a host, its log and two hosts that follow it."""

    async def scenario():
        with captured_log() as log:
            host = Host()
            host.deltas = []
            host.view.on_scan([CONFIG, GOOD], 5, 1.0)
            host.use()
            revision = 5
            for key, value in rows:
                revision += 1
                host.apply([(key, value, revision)])
                host.replication.send_delta([DeltaLink(host)])
                host.use()
            assert host.view.as_of == revision
            for other in follow(host):
                assert other.view.as_of == revision
                assert set(other.view.targets) == set(host.view.targets)
                other.use()
            scanned = Host()
            scanned.view.on_scan(list(host.view.items.values()), revision, 1.0)
            scanned.use()
            assert set(scanned.view.targets) == set(host.view.targets)
            for line in log.getvalue().splitlines():
                assert json.loads(line) and len(line) <= MAX_LINE, line[:200]
            return host

    return asyncio.run(scenario())
