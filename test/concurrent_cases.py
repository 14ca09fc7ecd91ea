"""Plays the cases of a parametrized test at the same time."""

from concurrent.futures import ThreadPoolExecutor

__all__ = ["ConcurrentCases"]


class ConcurrentCases:
    """Starts all selected cases of a test with its first one, each in a thread.

    Each case still reports its own outcome.
    """

    def __init__(self, request):
        self._request = request
        self._name = request.node.originalname

    def play(self, parameter, function):
        """Return or raise what `function(value)` did for the value of this case.

        `parameter` is the name of the test's only parameter.
        """
        futures = self._started(parameter, function)
        return futures[self._request.node.callspec.params[parameter]].result()

    def _started(self, parameter, function):
        known = self._request.module.__dict__.setdefault("_started_cases", {})
        if self._name not in known:
            values = [
                item.callspec.params[parameter]
                for item in self._request.session.items
                if item.path == self._request.path
                and getattr(item, "originalname", None) == self._name
            ]
            executor = ThreadPoolExecutor(len(values))
            known[self._name] = {
                value: executor.submit(function, value) for value in values
            }
            executor.shutdown(wait=False)
        return known[self._name]
