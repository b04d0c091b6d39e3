"""Benchmarks and experiments that run against the project's own fakes over loopback.

`fleet` starts daemons as processes; the demo, the tests and the benchmarks share it.
Timings are measured here; the tests assert outcomes only.
"""
