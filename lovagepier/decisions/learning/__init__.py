"""Estimates learnt from outcomes."""
