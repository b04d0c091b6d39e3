"""Messages of one module to the same module of other daemons, one in a datagram."""

import logging
import random
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

import msgspec

from ..logs import log_event
from .members import FAN_OUT, Members
from .model import Endpoint

LOGGER: Final = logging.getLogger(__name__)

M = TypeVar("M")

_ENCODER: Final = msgspec.msgpack.Encoder()


class DatagramChannel(Generic[M]):
    """Sends and receives the messages of one module.

    Args:
        members: the other daemons.
        mark: first bytes of the module's datagrams; no other message begins with them.
        message_type: type or union of the messages.
        handle: called with each message and the address of its sender.
    """

    def __init__(
        self,
        *,
        members: Members,
        mark: bytes,
        message_type: Any,
        handle: Callable[[M, Endpoint], None],
    ) -> None:
        self._members = members
        self._mark = mark
        self._decoder: msgspec.msgpack.Decoder[M] = msgspec.msgpack.Decoder(
            message_type
        )
        self._handle = handle
        members.bind_messages(self._receive, mark)

    def send(self, address: Endpoint, message: M) -> None:
        """Sends a message, which may be lost."""
        self._members.send_message(address, _ENCODER.encode(message), self._mark)

    def spread(self, message: M) -> None:
        """Sends a message to a few daemons, which pass on what is new to them."""
        alive = self._members.list_alive()
        for member in random.sample(alive, min(FAN_OUT, len(alive))):
            self.send(member.address, message)

    def _receive(self, data: bytes, address: Endpoint) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        self._handle(message, address)
