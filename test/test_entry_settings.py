"""Settings of an entry host: the deployment template and the error messages."""

import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._sockets import open_sockets
from lovagepier.errors import UserError
from lovagepier.settings import SettingsError
from test.entry_builders import settings
from trials.cluster import wait_until
from trials.ports import free_port

TEMPLATE = Path(__file__).parent.parent / "deploy" / "settings.ini.template"
FIELDS = {
    "node_name": "front-montego-1",
    "zone": "montego",
    "region": "cornwall",
    "first_start": "true",
    "zones": {"montego": "cornwall", "kingston": "surrey"},
    "ip": "10.1.0.25",
    "listen.front": "10.1.0.25:8221",
    "listen.ready": "10.1.0.25:8224",
    "listen.control": "10.1.0.25:8229",
    "listen.directory": "10.1.0.25:8220",
    "internal_ports.0": "7600",
    "seed_nodes": "10.1.0.25:8229,10.2.0.17:8229",
    "heartbeat_ms": "1200",
    "limits.memory_mb": "128",
    "limits.max_fds": "4100",
    "limits.link_mbps": "1000.0",
    "limits.cpu_cores": "2",
    "limits.cpu_share": "0.537",
    "platform.address": "10.200.1.7:8225",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.ttl_min_ms": "1000",
    "bounds.ttl_max_s": "5",
    "bounds.pass_ms": "200",
    "bounds.drain_ms": "2500",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_slack": "54",
    "bounds.budget_window_s": "10",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": "110000",
    "bounds.quota_window_s": "8",
    "bounds.canary_share": "0.1",
    "bounds.canary_slack": "50",
    "bounds.rollback_ms": "5000",
    "bounds.grace_s": "8",
    "bounds.cold_overage": "1.5",
    "bounds.cold_slack": "5",
}


def render(text, fields):
    """Fill in a template as the platform does, as far as this template needs."""

    def section(match):
        rows = fields[match[1]].items()
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.}}", value)
            for key, value in rows
        )

    text = re.sub(r"(?s)\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], text)


def test_the_rendered_template_is_accepted():
    cfg = parse_entry_settings(render(TEMPLATE.read_text(), FIELDS))
    assert cfg.callers_listen == ("10.1.0.25", 8221)
    assert cfg.zones == {"montego": "cornwall", "kingston": "surrey"}
    assert cfg.peers_seeds == [("10.1.0.25", 8229), ("10.2.0.17", 8229)]
    assert cfg.store_lease_least == 1.0
    assert cfg.budgets_quota_slack == 110000
    assert (cfg.targets_cold_overage, cfg.targets_cold_slack) == (1.5, 5.0)
    assert (cfg.host_memory_mb, cfg.host_max_fds) == (128, 4100)


def test_bounds_that_a_deployment_does_not_have_are_off():
    fields = {**FIELDS, "bounds.cold_overage": "", "bounds.cold_slack": ""}
    cfg = parse_entry_settings(render(TEMPLATE.read_text(), fields))
    assert cfg.targets_cold_overage is None
    assert cfg.targets_cold_slack is None
    assert not cfg.paces_targets


def test_a_placeholder_that_the_platform_leaves_is_off():
    """Guards against a host that does not start where the platform lacks a field."""
    names = ("bounds.cold_slack", "limits.memory_mb", "limits.max_fds")
    unknown = {name: "{{" + name + "}}" for name in names}
    cfg = parse_entry_settings(render(TEMPLATE.read_text(), FIELDS | unknown))
    assert cfg.targets_cold_slack is None
    assert (cfg.host_memory_mb, cfg.host_max_fds) == (0.0, 0.0)


@pytest.mark.parametrize("pace, is_on", [("auto", True), ("on", True), ("off", False)])
def test_targets_have_a_pace_where_cold_ones_have_a_bound(pace, is_on):
    text = render(TEMPLATE.read_text(), FIELDS) + f"[scheduling]\npace = {pace}\n"
    assert parse_entry_settings(text).paces_targets == is_on


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("retry_ratio = 0.2", "retry_ratio = 2", "retry_ratio = '2'"),
        ("grace = 8s", "grace = 8", "a time with unit"),
        ("[metrics]", "[measures]", "section [measures] does not exist"),
        ("region = cornwall", "region = surrey", "allowed: cornwall"),
        ("listen = 10.1.0.25:8221", "listen = there", "HOST:PORT"),
    ],
)
def test_an_invalid_setting_gets_one_line_that_names_it(old, new, message):
    text = render(TEMPLATE.read_text(), FIELDS)
    assert old in text
    with pytest.raises(SettingsError) as caught:
        parse_entry_settings(text.replace(old, new, 1))
    assert message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_optional_settings_have_defaults():
    assert parse_entry_settings(settings("n1", 80)).budgets_retry_ratio == 0.2


def test_slow_imports_come_after_the_listening_sockets():
    """Callers that connect during a start must wait for it instead of being refused."""
    program = (
        "import sys, lovagepier.entry.__main__\n"
        "heavy = {'asyncio', 'h11', 'websockets', 'urllib3', 'structlog'}\n"
        "print(sorted(heavy & set(sys.modules)))\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_a_start_imports_no_part_of_the_products_own_surroundings():
    """During a start after a loss of all hosts no request is served."""
    program = (
        "import sys, lovagepier.entry._host\n"
        "others = ('peers', 'node', 'backing', 'targets', 'callers', 'standins')\n"
        "own = [name for name in sys.modules if name.startswith('lovagepier.')]\n"
        "names = {name.split('.')[1] for name in own}\n"
        "print(sorted(names.intersection(others)))\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_an_address_in_use_gets_a_message_that_names_the_setting():
    cfg = parse_entry_settings(settings("n1", 80))
    sockets = open_sockets(cfg)
    with pytest.raises(UserError) as caught:
        open_sockets(cfg)
    assert "[callers] listen" in str(caught.value)
    for sock in sockets.values():
        sock.close()


def test_a_reload_during_a_start_does_not_end_the_process(tmp_path):
    """Until the host handles SIGHUP its default action ended the process."""
    path = tmp_path / "host.ini"
    path.write_text(settings("n1", free_port()))
    address = parse_entry_settings(path.read_text()).callers_listen
    process = subprocess.Popen(
        [sys.executable, "-m", "lovagepier.entry"],
        env={**os.environ, "LOVAGEPIER_NODE_FILE": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        # The sockets are open, but the slow imports are still ahead.
        wait_until(lambda: socket.create_connection(address).close() or True, 20, "n1")
        process.send_signal(signal.SIGHUP)
        # A slow start logs that the settings were reloaded first.
        assert any("node: started" in line for line in process.stdout)
    finally:
        process.kill()
        process.communicate()
