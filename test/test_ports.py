"""Ports of test processes that run beside each other."""

import subprocess
import sys

from trials.ports import free_port

TAKE_PORTS = """
import sys
from trials.ports import free_port
print(*(free_port() for _ in range(200)), flush=True)
sys.stdin.read()
"""


def test_processes_beside_each_other_get_different_ports():
    """A port that was free when it was checked was taken by another run."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", TAKE_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    own = {free_port() for _ in range(200)}
    taken = [set(map(int, process.stdout.readline().split())) for process in processes]
    for process in processes:
        process.communicate()
    assert len(own.union(*taken)) == 800
