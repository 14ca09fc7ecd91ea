"""Hypothesis profiles, the order of files, and a cluster that tests share.

A test that doesn't leave the cluster intact has one of its own.

The default profile uses fixed seeds; SOAK=1 selects random ones.
"""

import os

import pytest
from hypothesis import HealthCheck, settings

from lovagepier.client import Caller
from test.concurrent_cases import ConcurrentCases
from test.workers import DeselectedTests, FileScheduling, longest_first
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


def pytest_configure(config):
    """Count deselected tests in the main process."""
    config.pluginmanager.register(DeselectedTests())


def pytest_collection_modifyitems(items):
    """Start the longest files first."""
    longest_first(items)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    """Keep files, and some groups of files, in one worker."""
    return FileScheduling(config, log)


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
