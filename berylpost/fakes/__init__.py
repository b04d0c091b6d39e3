"""Fakes of the platform's services and of backend servers, for tests and the demo.

Each one serves the protocol of the service it replaces over loopback. `POST /fault`
makes it delay or refuse requests, or drop the response after the request took effect.
The fakes do not simulate a cluster: they have no clock of their own and do not model a
network.
"""
