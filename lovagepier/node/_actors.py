"""Base class of the node's actors: bounded mailboxes and exception handling."""

import queue
from dataclasses import dataclass

import pykka

from lovagepier.logs import component_logger

__all__ = ["NodeActor", "Tick", "mailbox_fill", "post"]

MAX_MAILBOX_MESSAGES = 20_000


@dataclass(slots=True, frozen=True)
class Tick:
    """Sent periodically so that an actor can do its timed work."""


class NodeActor(pykka.ThreadingActor):
    """An actor that selects the handler by the class of the message.

    Subclasses fill `handlers` with {message class: method name}. An exception
    in a handler is logged and does not end the actor. `component` is the prefix
    of the actor's log lines.
    """

    use_daemon_thread = True
    component = "node"
    handlers = {}

    def __init__(self, node):
        super().__init__()
        self.node = node
        self.log = component_logger(self.component)

    @staticmethod
    def _create_actor_inbox():
        return queue.Queue(MAX_MAILBOX_MESSAGES)

    def on_receive(self, message):
        """Call the handler of a message; ignore a message without one."""
        name = self.handlers.get(type(message))
        if name is None:
            return None
        try:
            return getattr(self, name)(message)
        except Exception as exc:  # noqa: BLE001  one bad message must not end an actor
            self.log.error(
                "dropped a message: its handler raised an exception",
                message=type(message).__name__,
                exc_info=exc,
            )
            return None


def mailbox_fill(ref):
    """Return the used part of an actor's mailbox, from 0 to 1."""
    return ref.actor_inbox.qsize() / MAX_MAILBOX_MESSAGES


def post(ref, message):
    """Send a message to an actor; return whether it was put into the mailbox.

    It is not if the actor has ended or its mailbox is nearly full.
    """
    if mailbox_fill(ref) >= 0.98 or not ref.is_alive():
        return False
    ref.tell(message)
    return True
