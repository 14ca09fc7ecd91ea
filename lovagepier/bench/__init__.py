"""Benchmarks of the decisions, pure and over real processes."""
