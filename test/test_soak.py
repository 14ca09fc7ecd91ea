"""A short fault soak; `scripts/soak` plays longer ones with fresh seeds."""

import asyncio

import pytest

from trials.soak import run_soak

SECONDS_A_SEED = 12.0


@pytest.mark.parametrize("seed", [138, 300, 1003, 1004])
def test_no_promise_is_broken_under_faults(seed, tmp_path):
    book = asyncio.run(run_soak(seed, SECONDS_A_SEED, tmp_path))
    assert book.statuses[200]
    assert sum(book.faults.values())
    assert book.findings == []
