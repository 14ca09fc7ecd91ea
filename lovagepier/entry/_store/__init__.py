"""This host's copy of the platform's store."""
