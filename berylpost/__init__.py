"""Serving system for model engines and plain services on reclaimable VMs.

The package is flat. Read it in this order: `settings` and `configuration` hold
what operators declare, `messages` and `errors` are the registries the parts talk
through, `kernel` starts the plug-ins, and each plug-in is one task: `peers`
(membership and news), `configurations` (the numbered documents), `backends` (what
can serve), `relay` (open streams), `ledger` and `services` (calls that run at most
once, owner's and entry's side), `drain` (leaving), `planner` (the fleet) and `web`
(HTTP). `edge` is the daemon for the users' own platform; its `__init__` names an order
too. `policy` holds the decisions as pure functions, `platform` the interfaces to
what the platform gives, `fakes` small stand-ins and `bench` the measurements.
"""

from typing import Final

VERSION: Final = "0.1.0"
