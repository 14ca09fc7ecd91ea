"""Builders for tests of one coordinator, without processes or connections."""

import random

from lovagepier.entry._cluster.messages import DispatchRequest
from lovagepier.entry._coordination.coordinator import Coordinator
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._store.view import StoreView
from lovagepier.entry.store_types import Target
from lovagepier.frames import FORMAT
from test.entry_builders import settings

__all__ = ["StandinLink", "make_cfg", "make_coordinator", "make_request", "make_view"]


class StandinLink:
    """A link that keeps what is sent."""

    def __init__(self):
        self.peer = ""
        self.build = "0.1.0"
        self.format = FORMAT
        self.in_use = False
        self.store_answered_at = 0.0
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def close(self):
        pass


def make_cfg(name="n1"):
    """Return the settings of a host."""
    return parse_entry_settings(settings(name, 1))


def make_view(target_count, slots):
    """Return a `StoreView` with the targets w1, w2 and so on of the service read."""
    view = StoreView()
    for name in (f"w{number}" for number in range(1, target_count + 1)):
        view.targets[name] = Target(
            name, "read", "10.0.0.9", 80, "a1", "v1", slots, False, 1
        )
    return view


def make_coordinator(cfg, view, send):
    """Return a `Coordinator` that knows the targets of a view."""
    coordinator = Coordinator(cfg, view, random.Random(1), send, None)
    coordinator.refresh(0.0)
    return coordinator


def make_request(request_id, account="", fingerprint="", cost=0.0):
    """Return a `DispatchRequest` for the service read."""
    return DispatchRequest(
        request_id,
        service="read",
        account=account,
        route="read",
        tier=1,
        remaining_s=9.0,
        soft_deadline_s=9.0,
        prefill_tokens=0,
        decode_tokens=1,
        prefix_blocks=[],
        fingerprint=fingerprint,
        zone="a1",
        attempt=0,
        exclude=[],
        cost=cost,
    )
