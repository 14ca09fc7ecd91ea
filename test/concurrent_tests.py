"""Plays the tests of a module at the same time, each with a fleet of its own."""

import functools
import inspect
from concurrent.futures import ThreadPoolExecutor

__all__ = ["ConcurrentTests"]


class ConcurrentTests:
    """Tests of one module that are played `at_once` at a time, in threads.

    `make_fleet()` returns the fleet that a test gets as its first argument; its
    `close()` is called afterwards. The first test that pytest runs starts all that are
    selected, in their order, and each test reports its own outcome.
    """

    def __init__(self, make_fleet, at_once):
        self._make_fleet = make_fleet
        self._at_once = at_once
        self._plays = {}
        self._futures = None

    def __call__(self, function):
        """Make a function a test; its further arguments are from `parametrize`."""
        self._plays[function.__name__] = function
        first, *others = inspect.signature(function).parameters.values()

        @functools.wraps(function)
        def test(request, **values):
            if self._futures is None:
                self._futures = self._start(request)
            return self._futures[request.node.nodeid].result()

        # pytest reads the fixtures that a test needs from its signature.
        test.__signature__ = inspect.Signature([first.replace(name="request"), *others])
        return test

    def _start(self, request):
        executor = ThreadPoolExecutor(self._at_once)
        futures = {
            item.nodeid: executor.submit(self._play, item)
            for item in request.session.items
            if item.path == request.path and item.originalname in self._plays
        }
        executor.shutdown(wait=False)
        return futures

    def _play(self, item):
        values = item.callspec.params if hasattr(item, "callspec") else {}
        fleet = self._make_fleet()
        try:
            self._plays[item.originalname](fleet, **values)
        finally:
            fleet.close()
