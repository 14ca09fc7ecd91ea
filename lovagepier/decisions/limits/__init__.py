"""Limits on what accounts, hosts and targets send and take."""
