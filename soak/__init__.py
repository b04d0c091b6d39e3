"""A randomized soak: the real daemons as processes, faults from outside them.

`world` starts the platform's stand-ins, the backend servers and the daemons, each with
links of its own through `proxy`; `callers` send requests and read the answers; `faults`
draws what breaks from a seed; `judge` holds what callers and backend servers saw
against the promises. `python -m soak --help` runs it.
"""
