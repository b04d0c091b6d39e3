"""Closes listeners of the event loop without losing connections."""

import asyncio


def close_listener(listener: asyncio.Server) -> None:
    """Stops accepting connections; those accepted so far are served.

    asyncio drops a connection that was accepted in this round of the loop, and leaves
    its socket open, if the listener closes before the next round.
    """
    loop = asyncio.get_running_loop()
    for sock in listener.sockets:
        loop.remove_reader(sock.fileno())
    loop.call_soon(listener.close)
