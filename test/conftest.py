"""Hypothesis profiles, and a cluster that tests share if they leave it intact.

The default profile uses fixed seeds; SOAK=1 selects random ones.
"""

import os

import pytest
from hypothesis import HealthCheck, settings

from lovagepier.client import Caller
from test.concurrent_cases import ConcurrentCases
from trials.cluster import Cluster

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "soak",
    deadline=None,
    database=None,
    max_examples=300,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("soak" if os.environ.get("SOAK") else "fixed")


@pytest.fixture(scope="session")
def cluster():
    """A cluster of three nodes in two regions, with engines and records workers."""
    with Cluster() as made:
        made.start_platform()
        for number, zone in enumerate(("a1", "a2", "b1")):
            made.start_engine(f"e{number}", zone)
        made.start_records_worker("r1", "a1")
        made.start_records_worker("r2", "b1")
        made.add_account("blue", "urgent")
        made.add_account("piece", "standard")
        for name, zone in (("n1", "a1"), ("n2", "a2"), ("n3", "b1")):
            made.start_node(name, zone)
        made.await_members(3)
        made.configure()
        yield made


@pytest.fixture
def caller(cluster):
    """A caller with the key of account blue, in zone a1."""
    return Caller(cluster.addresses(), "key-of-blue", "a1")


@pytest.fixture
def cases(request):
    """The `ConcurrentCases` of the test."""
    return ConcurrentCases(request)
