"""Serving system for model engines and plain services on reclaimable VMs.

The package is flat. Read it in this order: `settings` and `configuration` hold
what operators declare, `messages` and `errors` are the registries the parts talk
through, `kernel` starts the plug-ins, and each plug-in is one task: `peers`
(membership and news), `configurations` (the numbered documents), `ledger` (calls
that run at most once), `backends` (what can serve), `relay` (open streams),
`web` (HTTP), `drain` (leaving). `policy` holds the decisions as pure functions,
`platform` the interfaces to what the platform gives and `fakes` small stand-ins.
"""

from typing import Final

VERSION: Final = "0.1.0"
