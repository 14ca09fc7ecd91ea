"""Runs simulations in worker processes; they depend on no clock, so load is no matter.

Don't use it for tests that measure time or open sockets.
"""

import functools
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor

__all__ = ["map_in_processes"]

MAX_WORKERS = 4


@functools.cache
def _executor():
    # A fork of this process would copy locks that its threads hold.
    context = multiprocessing.get_context("spawn")
    return ProcessPoolExecutor(min(MAX_WORKERS, os.cpu_count() or 1), context)


def map_in_processes(function, values):
    """Return the results of `function` for some values, in their order.

    Function, values and results must be picklable. An exception of a call is raised.
    """
    return list(_executor().map(function, values))
