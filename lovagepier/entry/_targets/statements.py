"""Statements of targets: that they are leaving, or want a pause from a host."""

import asyncio

from lovagepier.entry._cluster.messages import TargetLeaving, TargetPaused
from lovagepier.logs import component_logger

__all__ = ["TargetStatements"]

_log = component_logger("members")


class TargetStatements:
    """Applies what targets say to this host's view and coordinator, and passes it on.

    `apply_keys(keys)` is called with the keys that changed in the view; `send(message)`
    sends to the coordinator in use unless that is this host's.
    """

    __slots__ = ("_apply_keys", "_host", "_loop", "_pauses", "_send", "_view")

    def __init__(self, host_name, view, pauses, apply_keys, send):
        self._host = host_name
        self._view = view
        self._pauses = pauses
        self._apply_keys = apply_keys
        self._send = send
        self._loop = asyncio.get_running_loop()

    def on_message(self, message):
        """Handle a `TargetLeaving` or `TargetPaused` of another host."""
        if isinstance(message, TargetLeaving):
            self.mark_leaving([message.incarnation], message.request)
        else:
            self._on_paused(message)

    # Leaving targets

    def report_leaving(self, target, request_id):
        """Take a target that says so for leaving, and tell the coordinator."""
        if target.incarnation not in self._view.leaving:
            self.mark_leaving([target.incarnation], request_id)
            self._send(TargetLeaving(target.incarnation, request_id))

    def mark_leaving(self, incarnations, request_id=""):
        """Take targets for leaving that another host knows of."""
        changed = self._view.mark_leaving(incarnations)
        if changed:
            _log.info("targets say that they leave", keys=changed, request=request_id)
            self._apply_keys(changed)

    # Pauses

    def is_paused(self, target):
        """Return whether a target wants a pause from this host now."""
        return self._pauses.is_paused(
            self._host, target.id, target.incarnation, self._loop.time()
        )

    def pause_rows(self):
        """Return the `Pauses.rows` of this host."""
        return self._pauses.rows(self._host, self._loop.time())

    def report_pause(self, target, seconds, request_id):
        """Send a target nothing for a while, and tell the coordinator."""
        self._on_paused(
            TargetPaused(self._host, target.id, target.incarnation, seconds, request_id)
        )

    def repeat_pause(self, target):
        """Tell a coordinator that does not know it of the pause of a target."""
        for name, incarnation, seconds in self.pause_rows():
            if name == target.id:
                self._send(TargetPaused(self._host, name, incarnation, seconds, ""))

    def _on_paused(self, message):
        """Record a pause of this host, or of one that follows it."""
        until = self._loop.time() + message.seconds
        is_new = self._pauses.pause(
            message.host, message.target, message.incarnation, until
        )
        if not is_new:
            return
        _log.info(
            "a target wants nothing from a host",
            target=message.target,
            incarnation=message.incarnation,
            host=message.host,
            seconds=message.seconds,
            request=message.request,
        )
        if message.host == self._host:
            self._send(message)
