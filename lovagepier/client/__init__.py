"""A client library: chooses entry hosts and resumes after a lost connection."""

from lovagepier.client._caller import Caller, CallerError, Reply

__all__ = ["Caller", "CallerError", "Reply"]
