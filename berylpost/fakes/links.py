"""Links between the daemons and the servers of one event loop, which a test can cut.

All daemons of a test share one thread, so a context variable tells which of them opens
a connection. Held bytes are delivered when the link is healed, as after a
retransmission.
"""

import asyncio
import errno
import selectors
from contextvars import ContextVar
from enum import StrEnum
from typing import Any, Final

CURRENT_DAEMON: Final[ContextVar[str]] = ContextVar("current_daemon", default="")


class LinkFault(StrEnum):
    """What happens to connections over a link that is cut.

    `HANG` holds all bytes back and leaves new connects without an answer, `RESET`
    resets open connections and new ones, `REFUSE_NEW` resets new ones only.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


class _Held:
    """An open connection whose bytes are held back in both directions."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._written: list[bytes] = []
        transport.pause_reading()
        transport.write = self._written.append
        transport.resume_reading = lambda: None

    def release(self) -> None:
        """Delivers the bytes, unless the connection was closed meanwhile."""
        del self._transport.write, self._transport.resume_reading
        if not self._transport.is_closing():
            for data in self._written:
                self._transport.write(data)
            self._transport.resume_reading()


class LinkedLoop(asyncio.SelectorEventLoop):
    """Event loop that applies the faults of links to connections.

    Attributes:
        connected: connections opened so far, by daemon and IP address.
    """

    def __init__(self, selector: selectors.BaseSelector | None = None) -> None:
        super().__init__(selector)
        self.connected: dict[tuple[str, str], int] = {}
        self._faults: dict[tuple[str, str], LinkFault] = {}
        self._healed = asyncio.Event()
        self._opened: dict[tuple[str, str], list[Any]] = {}
        self._held: dict[tuple[str, str], list[_Held]] = {}

    def cut(self, daemon: str, prefix: str, fault: LinkFault) -> None:
        """Cuts the links from a daemon to the IP addresses that begin with a prefix."""
        self.heal(daemon, prefix)
        self._faults[daemon, prefix] = fault
        transports = [
            transport
            for (owner, ip), opened in self._opened.items()
            for transport in opened
            if owner == daemon and ip.startswith(prefix) and not transport.is_closing()
        ]
        if fault is LinkFault.RESET:
            for transport in transports:
                transport.abort()
        elif fault is LinkFault.HANG:
            self._held[daemon, prefix] = [_Held(transport) for transport in transports]

    def heal(self, daemon: str, prefix: str) -> None:
        """Heals the links that were cut with the same arguments."""
        self._faults.pop((daemon, prefix), None)
        for held in self._held.pop((daemon, prefix), ()):
            held.release()
        self._healed.set()
        self._healed = asyncio.Event()

    def _find_fault(self, daemon: str, ip: str) -> LinkFault | None:
        for (owner, prefix), fault in self._faults.items():
            if owner == daemon and ip.startswith(prefix):
                return fault
        return None

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: str, port: int, **options: Any
    ) -> Any:
        """Opens a connection unless the link is cut."""
        link = (CURRENT_DAEMON.get(), host)
        while (fault := self._find_fault(*link)) is LinkFault.HANG:
            await self._healed.wait()
        if fault is not None:
            # The kernel reports a reset in place of the handshake's answer as refused.
            raise ConnectionRefusedError(
                errno.ECONNREFUSED, f"the link to {host} is cut"
            )
        pair = await super().create_connection(factory, host, port, **options)
        self.connected[link] = self.connected.get(link, 0) + 1
        opened = [t for t in self._opened.get(link, ()) if not t.is_closing()]
        self._opened[link] = [*opened, pair[0]]
        return pair
