"""Which target runs a request."""
