"""Randomized soak test: entry daemons as processes, faults injected from outside.

`world` starts the platform's fakes, the backend servers and the daemons, whose
connections pass through proxies (`proxy`); `callers` sends requests and reads the
answers; `faults` schedules faults and planned work from a random seed; `judge` checks
what callers and backend servers observed against the guarantees of the system.
`python -m soak --help` lists the options.
"""
