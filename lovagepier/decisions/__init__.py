"""Pure decision logic: no I/O, no threads, no clock, no global randomness.

Times are in seconds on whatever clock the caller passes as `now`.
"""
