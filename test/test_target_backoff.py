"""How long a target that refuses connections gets no requests."""

from lovagepier.entry._cluster.messages import DispatchResult, Granted
from test.coordinator_builders import (
    make_cfg,
    make_coordinator,
    make_request,
    make_view,
)

SLOTS = 4
# The first pause of a target that refuses connections, and some more.
FIRST_PAUSE_S = 0.9


class StandinCoordinator:
    """A coordinator with one target, and the answers that it sent."""

    def __init__(self):
        self.answers = []
        self.coordinator = make_coordinator(
            make_cfg(),
            make_view(1, SLOTS),
            lambda entry, answer: self.answers.append(answer),
        )

    def ask(self, request_id, now):
        """Ask for a grant; return whether there was one at once."""
        request = make_request(request_id)
        before = len(self.answers)
        self.coordinator.on_dispatch_request("n1", request, now)
        return any(isinstance(a, Granted) for a in self.answers[before:])

    def refuse(self, request_id, now):
        """Report that the target refused the connection for a request."""
        result = DispatchResult(request_id, "w1", "unreachable", None, None, 0)
        self.coordinator.on_result("n1", result, now)

    def granted_at(self, begin, end):
        """Return when a request that waits from `begin` on is granted, or None."""
        before = len(self.answers)
        self.ask("probe", begin)
        for step in range(int((end - begin) * 20)):
            now = begin + step / 20
            self.coordinator.tick(now)
            if any(isinstance(a, Granted) for a in self.answers[before:]):
                return now
        return None


def test_requests_refused_at_one_time_count_as_one_failure():
    """Replays a recovery 6 s after all paths to the targets were back."""
    standin = StandinCoordinator()
    names = [f"r{number}" for number in range(SLOTS)]
    assert all(standin.ask(name, 1.0) for name in names)
    for name in names:
        standin.refuse(name, 1.01)
    assert standin.granted_at(1.02, 6.0) <= 1.01 + FIRST_PAUSE_S


def test_a_target_that_goes_on_refusing_is_asked_less_often():
    standin = StandinCoordinator()
    now, pauses = 1.0, []
    assert standin.ask("first", now)
    standin.refuse("first", now)
    for _ in range(3):
        granted_at = standin.granted_at(now + 0.01, now + 9.0)
        pauses.append(granted_at - now)
        now = granted_at
        standin.refuse("probe", now)
    assert pauses[0] < pauses[1] < pauses[2] <= 3.2
