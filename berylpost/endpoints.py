"""Addresses of the form IP-NUMBER:PORT, in settings and in what other writers store."""

import ipaddress


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Splits IP-NUMBER:PORT into address and port.

    Raises:
        ValueError: the host is not an IP number or the port is not valid.
    """
    host, _, port = endpoint.rpartition(":")
    address = ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65_536:
        raise ValueError(f"port {port} is not between 1 and 65535")
    return str(address), int(port)
