"""Starts, configures, signals and stops the processes of a trial."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import urllib3

from lovagepier import keys
from trials.ports import free_port
from trials.relay import Relay

__all__ = ["Cluster", "Process", "free_port", "http_json", "wait_until"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
OPERATOR_KEY = "operator-key-of-the-trial"
PEER_KEY = "peer-key-of-the-trial"
_HTTP = urllib3.PoolManager(maxsize=16, retries=False)


def http_json(method, url, body=None, headers=None, timeout=10.0):
    """Make an HTTP call; return (status, JSON), with {} for a body that is not JSON."""
    data = None if body is None else json.dumps(body).encode()
    resp = _HTTP.request(
        method, url, body=data, headers=headers or {}, timeout=timeout, retries=False
    )
    with contextlib.suppress(ValueError):
        return resp.status, json.loads(resp.data)
    return resp.status, {}


def wait_until(check, seconds, what):
    """Poll `check()` until it returns a true value; return that value.

    Connection errors and a missing key count as false. Raise AssertionError that
    names `what` after `seconds`.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError, KeyError):
            found = check()
            if found:
                return found
        time.sleep(0.05)
    raise AssertionError(f"timed out after {seconds:g} s waiting for {what}")


def _exit_on_signal(number, _):
    raise SystemExit(128 + number)


class Process:
    """A process of the program: a node or a stand-in."""

    def __init__(self, name, args, port, log):
        self.name = name
        self.args = args
        self.port = port
        self.url = f"http://127.0.0.1:{port}"
        self._log = log
        self._popen = None

    def start(self):
        """Start the process without waiting for its port."""
        command = [sys.executable, "-m", "lovagepier", *self.args]
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        return self

    def wait_ready(self):
        """Wait until the port accepts connections."""
        wait_until(self._accepts, START_TIMEOUT_S, f"{self.name} on port {self.port}")
        return self

    def _accepts(self):
        if not self.alive():
            raise AssertionError(f"{self.name} exited: {self.log_text()[-2000:]}")
        with socket.socket() as sock:
            sock.settimeout(0.5)
            return sock.connect_ex(("127.0.0.1", self.port)) == 0

    def log_text(self):
        """Return what the process has written to standard output and error."""
        return Path(self._log).read_text(errors="replace")

    @property
    def pid(self):
        """The process id."""
        return self._popen.pid

    def alive(self):
        """Return whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def signal(self, number):
        """Send a signal if the process runs."""
        if self.alive():
            os.kill(self._popen.pid, number)

    def kill(self):
        """Kill the process, even while it is suspended, and wait for its end."""
        if self.alive():
            self.signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)

    def terminate(self):
        """Send SIGTERM, which asks the process to shut down."""
        self.signal(signal.SIGTERM)

    def wait(self, seconds=STOP_TIMEOUT_S):
        """Wait for the process to exit; return the exit code."""
        return self._popen.wait(seconds)


class Cluster:
    """The stand-ins and nodes of one trial, all on loopback.

    `settings` apply to all nodes; each is named SECTION_KEY.
    """

    def __init__(self, zones=None, ledger_shards=4, policy="finish-time", **settings):
        self.dir = Path(tempfile.mkdtemp(prefix="trial-"))
        self.zones = zones or {"a1": "west", "a2": "west", "b1": "east"}
        self.processes = {}
        self.nodes = {}
        self.engines = {}
        self.services = {}
        self.accounts = {}
        self.settings = settings
        self.policy = policy
        self.shards = ledger_shards
        self.relays = {}

    def __enter__(self):
        # On these signals the trial must still stop the processes it started.
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGHUP):
                signal.signal(number, _exit_on_signal)
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Kill all processes and close all relays."""
        for process in self.processes.values():
            if process.alive():
                process.kill()
        for relay in self.relays.values():
            relay.close()

    def _start_process(self, name, args, port):
        process = Process(name, args, port, self.dir / f"{name}.log")
        self.processes[name] = process
        return process.start()

    def start_standin(self, kind, name=None, **options):
        """Start a stand-in; `options` become command line flags."""
        name = name or kind
        port = free_port()
        args = ["standin", kind, "--listen", f"127.0.0.1:{port}"]
        for key, value in options.items():
            flag = f"--{key.replace('_', '-')}"
            if value is True:
                args.append(flag)
            elif isinstance(value, list):
                args += [flag, *map(str, value)]
            else:
                args += [flag, str(value)]
        return self._start_process(name, args, port)

    def start_platform(self, weights=(), rate=1e9, **kv_options):
        """Start the stand-ins of the platform and wait until they accept connections.

        `rate` is that of the weight store in bytes a second.
        """
        self.start_standin("kv", **kv_options)
        self.start_standin("hosts", lag=1.0)
        self.start_standin("weights", rate=rate, weights=list(weights))
        self.wait_ready()

    def wait_ready(self):
        """Wait until all running processes accept connections."""
        for process in self.processes.values():
            if process.alive():
                process.wait_ready()

    def start_engine(
        self, name, zone, model="drafter", version="v1", fenced=True, **options
    ):
        """Start an engine, which `configure` will add as a target."""
        process = self.start_standin(
            "engine", name, version_name=version, fenced=fenced, **options
        )
        self.engines[name] = {
            "kind": "engine",
            "address": process.url,
            "zone": zone,
            "model": model,
            "version": version,
            "fenced": fenced,
        }
        return process

    def start_records_worker(self, name, zone, service="ledger", **options):
        """Start a records worker, which `configure` will add as a target."""
        process = self.start_standin("records", name, **options)
        self.services[name] = {
            "kind": "service",
            "address": process.url,
            "zone": zone,
            "service": service,
        }
        return process

    def start_node(self, name, zone, **more):
        """Write a node's settings file, start the node and list its host as live.

        `more` are settings of this node only; `relayed=True` puts a `Relay` before
        its peer address.
        """
        ports = {part: free_port() for part in ("callers", "operators", "peers")}
        if more.pop("relayed", False):
            self.relays[name] = Relay(ports["peers"])
            more["peers_advertise"] = f"127.0.0.1:{self.relays[name].port}"
        path = self.dir / f"{name}.ini"
        path.write_text(self._ini(name, zone, ports, more))
        process = Process(
            name,
            ["node", "--settings", str(path)],
            ports["callers"],
            self.dir / f"{name}.log",
        )
        process.operators = f"http://127.0.0.1:{ports['operators']}"
        process.peer = more.get("peers_advertise", f"127.0.0.1:{ports['peers']}")
        process.zone = zone
        self.processes[name] = process
        self.nodes[name] = process
        self.set_host_state(name, "live", process.peer)
        return process.start()

    def _ini(self, name, zone, ports, more):
        sections = {
            "node": {"name": name, "zone": zone, "region": self.zones[zone]},
            "callers": {
                "listen": f"127.0.0.1:{ports['callers']}",
                "entry_ttl": "2s",
                "threads": "128",
            },
            "operators": {
                "listen": f"127.0.0.1:{ports['operators']}",
                "key_hashes": keys.digest(OPERATOR_KEY),
            },
            "peers": {
                "listen": f"127.0.0.1:{ports['peers']}",
                "key": PEER_KEY,
                "seeds": " ".join(
                    node.peer for node in self.nodes.values() if node.alive()
                ),
            },
            "platform": {
                "store": self.processes["kv"].url,
                "hosts": self.processes["hosts"].url,
                "weights": self.processes["weights"].url,
            },
            "pools": {"policy": self.policy},
            "ledger": {"shards": str(self.shards)},
            "logs": {"level": "info"},
        }
        for key, value in {**self.settings, **more}.items():
            section, _, field = key.partition("_")
            sections[section][field] = str(value)
        return "\n".join(
            f"[{section}]\n" + "\n".join(f"{k} = {v}" for k, v in fields.items())
            for section, fields in sections.items()
        )

    def set_host_state(self, name, state, peer="", incarnation="1"):
        """Set the state of a host in the platform's host list."""
        body = {"state": state, "peer": peer, "incarnation": incarnation}
        http_json("PUT", f"{self.processes['hosts'].url}/hosts/{name}", body)

    def add_account(self, name, tier="standard", **contract):
        """Add an account to those that `configure` writes; return its key.

        `contract` are further fields of the account.
        """
        key = f"key-of-{name}"
        self.accounts[name] = {
            "key_hashes": [keys.digest(key)],
            "tier": tier,
            **contract,
        }
        return key

    # Operator API

    def any_node(self):
        """Return one of the running nodes."""
        return next(node for node in self.nodes.values() if node.alive())

    def operator_call(self, method, path, body=None, headers=None, node=None):
        """Call the operators' API of a node, by default any; return (status, JSON)."""
        node = node or self.any_node()
        sent = {"Authorization": f"Bearer {OPERATOR_KEY}", **(headers or {})}
        return http_json(method, f"{node.operators}{path}", body, sent)

    def patch(self, operations, node=None, patch_id=None, base=None):
        """Submit a patch; return the new version.

        The base is the current version unless given. Raise AssertionError if the
        patch is refused.
        """
        if base is None:
            base = self.operator_call("GET", "/v1/config", node=node)[1]["version"]
        headers = {"If-Match": str(base)}
        if patch_id:
            headers["X-Patch-Id"] = patch_id
        status, body = self.operator_call(
            "PATCH", "/v1/config", operations, headers, node
        )
        if status != 200:
            raise AssertionError(f"the patch was refused: {body}")
        return body["version"]

    def configure(self, routes=("report", "note"), **more):
        """Write the first configuration; return its version once it is in force.

        `more` replaces or adds tables of the document.
        """
        self.wait_ready()
        services = {entry["service"] for entry in self.services.values()}
        models = {}
        for entry in self.engines.values():
            models.setdefault(entry["model"], {"serving": entry["version"]})
        tables = {
            "zones": {name: {"region": r} for name, r in self.zones.items()},
            "accounts": self.accounts,
            "models": models,
            "services": {name: {} for name in services},
            "routes": {name: {} for name in routes},
            "targets": {**self.engines, **self.services},
            **more,
        }
        operations = [
            {"op": "replace", "path": f"/{name}", "value": value}
            for name, value in tables.items()
        ]
        version = self.patch(operations)
        self.await_version(version)
        return version

    def await_version(self, version, seconds=10.0):
        """Wait until a version is in force on all running nodes."""
        for node in self.nodes.values():
            if node.alive():
                wait_until(
                    lambda node=node: self.version_at(node) >= version,
                    seconds,
                    f"version {version} at {node.name}",
                )

    def version_at(self, node):
        """Return the version in force at a node."""
        return self.operator_call("GET", "/v1/config", node=node)[1]["version"]

    def await_members(self, count, seconds=15.0):
        """Wait until all running nodes see `count` live nodes."""
        self.wait_ready()

        def seen(node):
            nodes = self.operator_call("GET", "/v1/status", node=node)[1]["nodes"]
            own = next(n for n in nodes if n["node"] == node.name)
            return len(own["live"]) == count

        for node in self.nodes.values():
            if node.alive():
                wait_until(
                    lambda node=node: seen(node), seconds, f"{count} at {node.name}"
                )

    def finished_rollout(self, name, node=None):
        """Return a rollout once its outcome is in the configuration, otherwise None."""
        moves = self.operator_call("GET", "/v1/moves", node=node)[1]["moves"]
        move = next(m for m in moves if m["move"] == name)
        return move if move["settled"] else None

    # Counters and faults

    def counts(self, name):
        """Return the counters of a stand-in."""
        return http_json("GET", f"{self.processes[name].url}/counts")[1]

    def journal(self, name):
        """Return the journal of a records worker."""
        return http_json("GET", f"{self.processes[name].url}/journal")[1]["journal"]

    def set_faults(self, name, **faults):
        """Inject faults into a stand-in: name=value or name=(value, seconds).

        A value of None clears the fault.
        """
        body = {}
        for fault, value in faults.items():
            if value is None:
                body[fault] = None
            elif isinstance(value, tuple):
                body[fault] = {"value": value[0], "seconds": value[1]}
            else:
                body[fault] = {"value": value}
        http_json("POST", f"{self.processes[name].url}/faults", body)

    def dispatch_counts(self):
        """Return {request id: number of dispatches} over all running engines."""
        total = {}
        for name in self.engines:
            if self.processes[name].alive():
                for request_id, times in self.counts(name)["dispatches"].items():
                    total[request_id] = total.get(request_id, 0) + times
        return total

    def addresses(self):
        """Return the URLs of the running nodes for callers."""
        return [node.url for node in self.nodes.values() if node.alive()]
