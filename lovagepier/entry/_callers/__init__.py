"""Serves callers: connections, and one exchange for each request."""
