"""Decisions as pure functions: frozen state, now and a random stream in, actions out.

Nothing here does I/O, reads a clock or logs. The tasks own the state, call these
functions and carry the actions out; `recording` writes inputs and outcomes down
and `replay` runs them again.
"""
