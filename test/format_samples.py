"""Messages of each kind by tag, as field values of the newest format.

`python -m test.format_samples COMMIT` prints what a landed build says of its format:
the fields of its messages, and frames that its own code encodes. `own` stands for this
checkout, whose format is described anew until it has landed.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

import cbor2

from test.old_builds import ROOT, extract_build

__all__ = ["FORMATS", "FOLDER", "SAMPLES", "describe_build", "run_in_build"]

# The commit of a landed build of each format. The newest one is that of this checkout.
FORMATS = {
    1: "3794c33",
    2: "2ea4c0b",
    3: "b437d2e",
    4: "0953dc6",
    5: "9a1d31e",
    6: "cff0e99",
}
FOLDER = Path(__file__).resolve().parent / "formats"

_WORK = ["s", "r", "id", 1, "nonce", 2.5, True, False, []]
_OUTCOME = ["s", "r", "id", "t", "ok", 0.1, 0.5, 7, 3, True]
_ASK = ["q1", "ledger", "blue", "read", 1, 2.5, 0.2, 10, 5, [["b", 4]], "f", "a1", 1]
_ASK += [["w1"], 3.0, 1.5, ["a"]]
_HOSTS = [["n1", "127.0.0.1:1", "a1", False, True, 5, "0.1.0"]]
_LIMITS = [["w1", "w1.1", 8.0]]
_BEAT = ["n1", True, "a1", "127.0.0.1:1", False, 3, 12, 0.5, True]
SAMPLES = {
    "e.beat": _BEAT,
    "e.roster": [
        *("n1", _HOSTS, 3, 12, 0.5, ["f"], [["ledger", 4, "slow"]], {"blue": 0.1}),
        *([], "boot", [], {"ledger": 3.0}, _LIMITS, ["w1.1"], _LIMITS),
    ],
    "e.ask": _ASK,
    "e.grant": ["q1", "w1", "w1.1", "new", "why", True],
    "e.refuse": ["q1", "over-quota", "why", 1.5],
    "e.first": ["q1", 0.1],
    "e.done": ["q1", "w1", "ok", 0.1, 0.4, 7],
    "e.down": ["ledger", "w1", "w1.1"],
    "e.leaving": ["w1.1", "q1"],
    "e.pause": ["n1", "w1", "w1.1", 2.0, "q1"],
    "e.limit": ["q1", "w1", "w1.1", 8.0, "rate_limit"],
    "e.withdraw": ["q1"],
    "e.register": [
        *([[_ASK, "w1"]], ["f"], [["ledger", 4, "slow"]], {"blue": 5.0}, [], _LIMITS),
        *(["w1.1"], [["w1", "w1.1", 2.0]], _LIMITS),
    ],
    "e.changed": [3, 4, b"packed"],
    "e.mirror?": [3],
    "e.mirror": [4, b"packed"],
    "e.tunnel": [1, "n1", "w1", "w1.1"],
    "e.tunnel-up": [1],
    "e.tunnel-data": [1, b"data"],
    "e.tunnel-flow": [1, True],
    "e.tunnel-end": [1, "why", True, False, True],
}

# Runs in the old build; values of tags that are not in `SAMPLES` follow their types.
_DESCRIBE = """
import dataclasses, json, sys
import cbor2
from lovagepier import frames
from lovagepier.peers import messages
try:
    import lovagepier.entry._cluster.messages
    import lovagepier.entry._targets.tunnel_messages
except ImportError:
    import lovagepier.entry._messages
    try:
        import lovagepier.entry._tunnel_messages
    except ImportError:
        pass
samples = cbor2.loads(bytes.fromhex(sys.stdin.read()))
by_type = {"str": "x", "int": 1, "float": 1.5, "bool": True, "list": [], "dict": {},
           "bytes": b"x"}
described = {}
registry = getattr(frames, "_BY_CLASS", None) or frames._TAG_OF
for cls, entry in registry.items():
    tag = getattr(entry, "tag", None) or entry[0]
    fields = dataclasses.fields(cls)
    values = samples.get(tag)
    if values is None:
        values = [
            by_type[getattr(f.type, "__name__", str(f.type)).split(" ")[0]]
            for f in fields
        ]
    described[tag] = {
        "fields": len(fields),
        "required": sum(
            f.default is dataclasses.MISSING
            and f.default_factory is dataclasses.MISSING
            for f in fields
        ),
        "frame": frames.encode(cls(*values[: len(fields)])).hex(),
    }
try:
    from lovagepier.decisions.rollouts.evidence import Counts
    from lovagepier.decisions.rollouts.rollback import RollbackTrigger
except ImportError:
    from lovagepier.decisions.evidence import Counts
    from lovagepier.decisions.rollback import RollbackTrigger
trigger = RollbackTrigger()
for number in range(60):
    trigger.observe("read", False, Counts(1, 0, 0), number / 10)
    trigger.observe("read", True, Counts(1, 0, int(number > 40)), number / 10)
described["comparisons"] = trigger.state()
print(json.dumps(described))
"""


def run_in_build(folder, program, data):
    """Run a Python program with the package in a folder; return what it prints."""
    result = subprocess.run(
        [sys.executable, "-c", program],
        cwd=folder,
        input=data.hex(),
        capture_output=True,
        text=True,
        check=False,
    )
    assert not result.returncode, result.stderr
    return result.stdout


def describe_build(folder):
    """Return what the build in a folder says of its format."""
    return json.loads(run_in_build(folder, _DESCRIBE, cbor2.dumps(SAMPLES)))


def main():
    """Print the description of the build of a commit, "own" for this checkout."""
    (commit,) = sys.argv[1:]
    if commit == "own":
        described = describe_build(ROOT)
    else:
        with tempfile.TemporaryDirectory() as folder:
            described = describe_build(extract_build(commit, Path(folder)))
    print(json.dumps(described, indent=1, sort_keys=True))


if __name__ == "__main__":
    main()
