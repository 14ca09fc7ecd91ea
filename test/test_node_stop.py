"""A node that is told to stop ends, also while callers go on sending to it."""

import http.client
import json
import threading
import time

import pytest

from test.builders import completion
from test.faults import make_fleet
from trials.cluster import wait_until

# Callers' requests keep a node busy for no longer than this after their entry list
# has lapsed (1 s here): a request lasts for 0.1 s.
MAX_STOP_S = 8.0


class KeptCaller(threading.Thread):
    """Sends one request after the other to one node, and keeps its connection."""

    def __init__(self, address, number):
        super().__init__(daemon=True)
        self._address = address
        self._number = number
        self.ended = []
        self.over = threading.Event()

    def run(self):
        """Send until `over` is set; `ended` has (request id, status or None if cut)."""
        conn = None
        count = 0
        while not self.over.is_set():
            if conn is None:
                conn = self._connect()
                if conn is None:
                    time.sleep(0.02)
                    continue
            count += 1
            request_id = f"k{self._number}-{count}"
            headers = {
                "Authorization": "Bearer key-of-high",
                "X-Request-Id": request_id,
                "Content-Type": "application/json",
            }
            body = json.dumps(completion(tokens=10, stream=False))
            try:
                conn.request("POST", "/v1/chat/completions", body, headers)
                answer = conn.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                self.ended.append((request_id, None))
                conn = None
                continue
            self.ended.append((request_id, answer.status))
            if answer.getheader("Connection", "").lower() == "close":
                conn = None

    def _connect(self):
        conn = http.client.HTTPConnection(*self._address, timeout=10)
        try:
            conn.connect()
        except OSError:
            return None
        return conn


@pytest.fixture(scope="module")
def fleet():
    with make_fleet(nodes=2, engines=1, records=1) as made:
        yield made


def test_a_node_stops_while_callers_keep_their_connections(fleet):
    node = fleet.nodes["n0"]
    callers = [KeptCaller(("127.0.0.1", node.port), number) for number in range(6)]
    for each in callers:
        each.start()
    wait_until(lambda: min(len(each.ended) for each in callers) >= 3, 10, "answers")
    told_at = time.monotonic()
    node.terminate()
    node.terminate()
    try:
        assert node.wait(MAX_STOP_S) == 0
    finally:
        for each in callers:
            each.over.set()
    assert time.monotonic() - told_at >= 1.0
    ended = [row for each in callers for row in each.ended]
    # A request that crosses the end of the process is not read.
    cut = [request_id for request_id, status in ended if status is None]
    assert len(cut) <= len(callers)
    assert {status for _, status in ended} <= {200, 503, None}
    assert sum(status == 200 for _, status in ended) >= 18
