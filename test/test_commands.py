"""Tests of the command line against a running cluster: output, JSON, exit codes."""

import json

import pytest

from lovagepier.commands import main
from trials.cluster import OPERATOR_KEY


@pytest.fixture
def operator(cluster):
    node = cluster.nodes["n1"]
    return ["--node", node.operators, "--key", OPERATOR_KEY]


def test_send_prints_the_answer(cluster, capsys):
    args = ["send", "--entry", cluster.nodes["n1"].url, "--key", "key-of-blue"]
    assert main([*args, "--model", "drafter", "hello [[tokens=3]]"]) == 0
    out = capsys.readouterr()
    assert out.out.count(":") == 3
    assert "run yes" in out.err


def test_send_exits_with_three_if_the_request_is_refused(cluster, capsys):
    args = ["send", "--entry", cluster.nodes["n1"].url, "--key", "key-of-blue"]
    assert main([*args, "--model", "nobody", "--json", "hello"]) == 3
    assert json.loads(capsys.readouterr().out)["run"] == "no"


def test_bench_measures_a_running_fleet(cluster, capsys):
    args = ["bench", "steady", "--entry", cluster.nodes["n1"].url]
    args += ["--account", "urgent=key-of-blue", "--model", "drafter", "--json"]
    assert main([*args, "--rate", "10", "--seconds", "1"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["sent"] == found["good"] > 0


def test_config_is_shown_patched_and_in_force(cluster, operator, capsys, tmp_path):
    assert main(["config", "show", *operator]) == 0
    base = json.loads(capsys.readouterr().out)["version"]
    patch = tmp_path / "patch.json"
    patch.write_text('[{"op": "add", "path": "/routes/by-hand", "value": {}}]')
    assert main(["config", "patch", str(patch), "--json", *operator]) == 0
    assert json.loads(capsys.readouterr().out)["version"] == base + 1
    cluster.await_version(base + 1)
    assert main(["config", "in-force", str(base + 1), *operator]) == 0
    assert main(["config", "in-force", str(base + 9), *operator]) == 3
    stale = ["config", "patch", str(patch), "--base", "0", *operator]
    assert main(stale) == 1
    assert "is current" in capsys.readouterr().err
    assert main(["config", "history", *operator]) == 0
    assert "/routes/by-hand" in capsys.readouterr().out


def test_status_and_timeline_are_printed(cluster, operator, capsys):
    assert main(["status", *operator]) == 0
    assert main(["timeline", "--limit", "20", *operator]) == 0
    out = capsys.readouterr().out
    assert "n1" in out and "zone a1" in out


def test_moves_are_listed_and_an_unknown_one_is_an_error(operator, capsys):
    assert main(["move", "list", *operator]) == 0
    assert main(["move", "show", "nothing", *operator]) == 1
    assert "no move is named" in capsys.readouterr().err


def test_errors_are_one_line_on_standard_error(capsys, tmp_path):
    missing = str(tmp_path / "missing.ini")
    assert main(["config", "check", missing]) == 1
    err = capsys.readouterr().err
    assert err.count("\n") == 1 and missing in err
    unreachable = ["--node", "http://127.0.0.1:9", "--key", "x"]
    assert main(["status", *unreachable]) == 1
    assert "did not answer" in capsys.readouterr().err


def test_wrong_usage_exits_with_two():
    with pytest.raises(SystemExit) as caught:
        main(["move"])
    assert caught.value.code == 2
