"""Trials over real processes on loopback: the demo, benchmarks, fault tests."""
