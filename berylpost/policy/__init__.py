"""Policies: pure functions that map state, time and a random stream to actions.

Nothing in this package does I/O, reads a clock or logs. The tasks own the state, call
these functions and execute the returned actions. `recording` writes the inputs and
outcomes of decisions to a trace, and `replay` evaluates them again.
"""
