"""The base of this program's actors: bounded mailboxes, one fault handler."""

import queue
from dataclasses import dataclass

import pykka

from lovagepier.logs import component_logger

__all__ = ["NodeActor", "Tick", "mailbox_fill", "post"]

MAILBOX_LIMIT = 20_000


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


class NodeActor(pykka.ThreadingActor):
    """An actor that dispatches on the class of a message.

    Subclasses fill `handlers` with {message class: method name}. A fault in
    a handler is logged and does not end the actor.
    """

    use_daemon_thread = True
    part = "node"
    handlers = {}

    def __init__(self, node):
        super().__init__()
        self.node = node
        self.log = component_logger(self.part)

    @staticmethod
    def _create_actor_inbox():
        return queue.Queue(MAILBOX_LIMIT)

    def on_receive(self, message):
        """Hand a message to its handler."""
        name = self.handlers.get(type(message))
        if name is None:
            return None
        try:
            return getattr(self, name)(message)
        except Exception as exc:  # noqa: BLE001  one bad message must not end an actor
            self.log.error(
                "a message was dropped after a fault",
                message=type(message).__name__,
                exc_info=exc,
            )
            return None


def mailbox_fill(ref):
    """Return how full an actor's mailbox is, from 0 to 1."""
    return ref.actor_inbox.qsize() / MAILBOX_LIMIT


def post(ref, message):
    """Tell an actor unless its mailbox is full; return whether it was told."""
    if mailbox_fill(ref) >= 0.98 or not ref.is_alive():
        return False
    ref.tell(message)
    return True
