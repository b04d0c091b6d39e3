"""Measurements and experiments on the project's own stand-ins, over loopback.

`fleet` starts daemons as processes and is shared by the demo, tests and benches.
Timings belong here; the tests assert outcomes only.
"""
