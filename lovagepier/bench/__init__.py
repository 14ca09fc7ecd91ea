"""Benchmarks of the decisions, simulated and with real processes."""
