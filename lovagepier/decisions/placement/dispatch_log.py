"""The request ids that a coordinator has granted: running and recently finished."""

from lovagepier.decisions.placement.work import Join, Refusal
from lovagepier.errors import ErrorKind

__all__ = ["DispatchLog", "Running"]


class Running:
    """One granted request without an outcome.

    `granted_at` and `first_byte_at` are in seconds, the latter None before the first
    byte. `on_trial` tells whether it had a suspect of a crash when it was granted.
    """

    __slots__ = (
        "first_byte_at",
        "granted_at",
        "on_trial",
        "target",
        "version",
        "work",
    )

    def __init__(self, work, target, version, granted_at, on_trial=False):
        self.first_byte_at = None
        self.on_trial = on_trial
        self.work = work
        self.target = target
        self.version = version
        self.granted_at = granted_at


class DispatchLog:
    """Remembers granted ids, so that none is granted twice.

    Finished ids are kept for `keep_seconds`. The length is the number of running ones.
    """

    __slots__ = ("_finished", "_keep_seconds", "_running")

    def __init__(self, keep_seconds):
        self._keep_seconds = keep_seconds
        self._running = {}
        self._finished = {}

    def __contains__(self, request_id):
        return request_id in self._running or request_id in self._finished

    def __len__(self):
        return len(self._running)

    def __deepcopy__(self, memo):
        """Return a log with the same entries, to try requests on; see `dry_run`.

        Granting a request adds entries and changes none, so they are shared.
        """
        log = DispatchLog(self._keep_seconds)
        log._running = dict(self._running)
        log._finished = dict(self._finished)
        return log

    def values(self):
        """Return all `Running` entries."""
        return self._running.values()

    def get(self, request_id):
        """Return the `Running` entry of an id, or None."""
        return self._running.get(request_id)

    def begin(self, work, target, version, now, on_trial=False):
        """Record a grant."""
        self._running[work.id] = Running(work, target, version, now, on_trial)

    def end(self, request_id):
        """Remove and return the `Running` entry of an id, or None."""
        return self._running.pop(request_id, None)

    def remember(self, request_id, target, fingerprint, now):
        """Record a finished id and drop those kept long enough."""
        self._finished[request_id] = (now, target, fingerprint)
        oldest = next(iter(self._finished))
        while now - self._finished[oldest][0] > self._keep_seconds:
            del self._finished[oldest]
            oldest = next(iter(self._finished))

    def find(self, work):
        """Return the `Join` or `Refusal` for a known id, or None.

        An id that was granted with another body is refused.
        """
        running = self._running.get(work.id)
        if running is not None:
            return _join(work, running.work.fingerprint, running.target, False)
        finished = self._finished.get(work.id)
        if finished is not None:
            _, target, fingerprint = finished
            return _join(work, fingerprint, target, True)
        return None


def _join(work, fingerprint, target, finished):
    if fingerprint and work.fingerprint and fingerprint != work.fingerprint:
        why = "the id came before with another body"
        return Refusal(work, ErrorKind.KEY_REUSED, why, retry_after=0)
    return Join(work, target, finished)
