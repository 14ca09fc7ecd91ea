"""A well-behaved caller: keeps the entries, follows a lost connection."""

from lovagepier.client._caller import Caller, CallerError, Reply

__all__ = ["Caller", "CallerError", "Reply"]
