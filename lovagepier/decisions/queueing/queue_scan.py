"""One pass over the queue: which requests later ones may overtake.

Load pattern: any number of requests that may go to full regions only, in front of
requests that could start elsewhere.
"""

from itertools import islice

__all__ = ["QueueScan"]


class QueueScan:
    """Yields queued requests in service order, within bounds on the work of a pass.

    At most `max_scanned` requests are looked at and `max_passed` passed over, and of
    each lane of restricted requests as many more. Behind the bound of a restricted lane
    its requests wait while the other lanes go on; at the bound of the unrestricted one
    the pass ends.
    """

    __slots__ = ("_closed", "_max_passed", "_max_scanned", "_passed", "_waiting")

    def __init__(self, waiting, max_scanned, max_passed):
        self._waiting = waiting
        self._max_scanned = max_scanned
        self._max_passed = max_passed
        self._passed = None
        self._closed = None

    def __iter__(self):
        lanes = len(self._waiting.restricted)
        if not lanes:
            return islice(self._waiting.candidates(), self._max_scanned)
        self._closed = set()
        count = self._max_scanned + lanes * (self._max_passed + 1)
        return islice(self._waiting.candidates(self._closed), count)

    def goes_on(self, work, may_be_passed_over):
        """Return whether the pass goes on after a request that can't start now.

        Without `may_be_passed_over` a free slot can help it, so that later ones in its
        lane must not overtake it.
        """
        if self._passed is None:
            self._passed = {}
        passed = self._passed[work.regions] = self._passed.get(work.regions, 0) + 1
        is_closed = not may_be_passed_over or passed >= self._max_passed
        if is_closed and work.regions:
            self._closed.add(work.regions)
            return True
        return not is_closed
