"""The daemon on entry VMs that forwards callers' requests to backend servers.

One event loop owns every socket. Read `model` first (what the parts hand to each
other), then follow a request: `callers` reads it, `forwarding` carries it through its
attempts over `upstream` connections, and `backends` knows where it may go. Next to it
run `members` (gossip with the other daemons), `catalogue` (configuration and backend
servers from the object API), `quotas`, `usage` and `duties` (one daemon at a time).
Decisions are pure functions in `berylpost.policy`.
"""
