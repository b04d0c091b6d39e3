"""The daemon on entry VMs that forwards callers' requests to backend servers.

A single event loop owns every socket. Start with `model`, which defines the types that
the modules exchange, then follow a request: `listener` accepts its connection,
`callers` reads it, `forwarding` makes its attempts over `upstream` connections, and
`backend_table` holds the backend servers that may serve it. Independently of requests
run `members` (gossip with the other daemons), `catalogue` (configuration and backend
servers from the object API), `quotas`, `usage` and `duties` (carried out by one daemon
at a time). Decisions are pure functions in `berylpost.policy`.
"""
