"""Pure policy: no I/O, no threads, no clock, no global randomness.

Times are seconds on whatever clock the caller passes as `now`.
"""
