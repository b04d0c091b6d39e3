"""Small stand-ins for the platform and backend servers, for tests and the demo.

Each speaks the protocol of its kind over loopback and can be told, by
`POST /fault`, to be late, to refuse, or to lose its answer after the effect.
They are no cluster simulator: no clock of their own, no model of a network.
"""
