"""Trials with real processes on loopback: the demo, benchmarks and fault tests."""
