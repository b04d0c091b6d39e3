"""A daemon that cannot connect to some addresses: `python -m ... FILE serve -c PATH`.

FILE lists the addresses, IP-NUMBER:PORT, one a line; it is read before each connect.
Connections that are open already live on.
"""

import errno
import socket
import sys
from pathlib import Path
from typing import Any

from ..main import main


def refuse_addresses(path: Path) -> None:
    """Makes connects of this process to the listed addresses fail."""

    def is_cut(address: Any) -> bool:
        listed = path.read_text().split() if path.exists() else []
        return isinstance(address, tuple) and f"{address[0]}:{address[1]}" in listed

    class CutSocket(socket.socket):
        """A socket that cannot connect to the listed addresses."""

        def connect(self, address: Any) -> None:
            """Connects, unless the address is listed."""
            if is_cut(address):
                raise ConnectionRefusedError(errno.ECONNREFUSED, "the link is cut")
            super().connect(address)

        def connect_ex(self, address: Any) -> int:
            """Connects, unless the address is listed."""
            return (
                errno.ECONNREFUSED if is_cut(address) else super().connect_ex(address)
            )

    socket.socket = CutSocket  # type: ignore[misc]


if __name__ == "__main__":
    refuse_addresses(Path(sys.argv.pop(1)))
    sys.exit(main())
