"""Processes that get SIGTERM while they start: callers that connected are answered."""

import os
import signal
import socket
import subprocess
import sys

import pytest

from lovagepier.entry._settings import parse_entry_settings
from test.entry_builders import raw_request, settings
from trials.cluster import Cluster, wait_until
from trials.ports import free_port

ANSWER_TIMEOUT_S = 20.0


def connect(address):
    sock = socket.create_connection(address)
    sock.settimeout(ANSWER_TIMEOUT_S)
    return sock


def read_all(sock):
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


def test_a_host_stopped_while_it_starts_answers_the_requests_in_its_backlog(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text(settings("n1", free_port()))
    address = parse_entry_settings(path.read_text()).callers_listen
    process = subprocess.Popen(
        [sys.executable, "-m", "lovagepier.entry"],
        env={**os.environ, "LOVAGEPIER_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
    )
    try:
        # The sockets are open, but the slow imports are still ahead.
        caller = wait_until(lambda: connect(address), 20, "n1")
        caller.sendall(raw_request("/read/x", "r1", headers=("Connection: close",)))
        process.send_signal(signal.SIGTERM)
        assert read_all(caller).startswith(b"HTTP/1.1 503 ")
        assert process.wait(ANSWER_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_a_node_stopped_while_it_starts_exits_in_order(signum):
    cluster = Cluster()
    try:
        cluster.start_platform()
        node = cluster.start_node("n1", "a1")
        host, port = node.peer.split(":")
        wait_until(lambda: connect((host, int(port))), 20, "n1's port for peers")
        node.signal(signum)
        assert node.wait(ANSWER_TIMEOUT_S) == 0
    finally:
        cluster.close()
