"""Requests that crash targets."""
