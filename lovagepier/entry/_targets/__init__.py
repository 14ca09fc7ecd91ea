"""Connections to targets, directly or through other hosts."""
