"""Plays the cases of a parametrized test at the same time."""

import asyncio
from concurrent.futures import Future, ThreadPoolExecutor

__all__ = ["ConcurrentCases"]


class ConcurrentCases:
    """Starts all selected cases of a test with its first one.

    Each case still reports its own outcome.
    """

    def __init__(self, request):
        self._request = request
        self._name = request.node.originalname

    def play(self, function):
        """Call `function` with the parameters of each case, in threads."""
        # Two threads that ask for a folder first would both create the base folder.
        self._request.getfixturevalue("tmp_path_factory").getbasetemp()
        return self._outcome(_play_in_threads, function)

    def gather(self, function):
        """Await `function` with the parameters of each case, on one event loop."""
        return self._outcome(_play_on_one_loop, function)

    def _outcome(self, play, function):
        """Return or raise what the function did for this case."""
        known = self._request.module.__dict__.setdefault("_started_cases", {})
        if self._name not in known:
            known[self._name] = play(function, self._selected_cases())
        return known[self._name][self._request.node.callspec.id].result()

    def _selected_cases(self):
        return {
            item.callspec.id: item.callspec.params
            for item in self._request.session.items
            if item.path == self._request.path
            and getattr(item, "originalname", None) == self._name
        }


def _play_in_threads(function, cases):
    executor = ThreadPoolExecutor(len(cases))
    futures = {
        name: executor.submit(function, **values) for name, values in cases.items()
    }
    executor.shutdown(wait=False)
    return futures


def _play_on_one_loop(function, cases):
    async def run():
        return await asyncio.gather(
            *(function(**values) for values in cases.values()), return_exceptions=True
        )

    futures = {}
    for name, outcome in zip(cases, asyncio.run(run()), strict=True):
        fut = futures[name] = Future()
        if isinstance(outcome, BaseException):
            fut.set_exception(outcome)
        else:
            fut.set_result(outcome)
    return futures
