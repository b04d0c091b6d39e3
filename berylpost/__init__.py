"""Serving system for model engines and plain services on reclaimable VMs.

Most modules are in the package itself. Suggested reading order: `settings` and
`configuration` define what operators declare; `messages` and `errors` are the
registries of messages between daemons and of error kinds; `kernel` starts the
plug-ins. Each plug-in is one task: `peers` (membership and gossip), `configurations`
(the configuration of each deployment), `backends` (the known backend servers), `relay`
(open streams), `ledger` and `services` (calls that run at most once: the side of the
shard's owner and the side of the daemon that received the call), `drain` (shutdown and
handover), `planner` (the fleet) and `web` (HTTP).

Subpackages: `edge` is the entry daemon for the users' own platform; its docstring
gives a reading order too. `policy` holds the decisions as pure functions, `platform`
the interfaces to the platform's services, `fakes` small fakes of these services and of
backend servers, and `bench` the measurements.
"""

from typing import Final

VERSION: Final = "0.1.0"
