"""Messages of one module to the same module of other daemons, one in a datagram."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

import msgspec

from ..logs import log_event
from .anti_entropy import ask_regularly
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
        self._task: asyncio.Task[None] | None = None
        members.bind_messages(self._receive, mark)

    def start_asking(
        self, make_question: Callable[[], M], on_round: Callable[[], None]
    ) -> None:
        """Asks a random daemon in each round; called from the event loop.

        Args:
            make_question: returns the message to send.
            on_round: called in each round, also without other daemons.
        """
        self._task = asyncio.create_task(
            ask_regularly(
                self._members,
                lambda address: self.send(address, make_question()),
                on_round,
            )
        )

    def stop_asking(self) -> None:
        """Ends the rounds."""
        if self._task is not None:
            self._task.cancel()

    def send(self, address: Endpoint, message: M) -> None:
        """Sends a message, which may be lost."""
        self._members.send_message(address, _ENCODER.encode(message), self._mark)

    def spread(self, message: M) -> None:
        """Sends a message to a few daemons, which pass on what is new to them."""
        alive = self._members.list_reachable()
        for member in random.sample(alive, min(FAN_OUT, len(alive))):
            self.send(member.address, message)

    def _receive(self, data: bytes, address: Endpoint) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        self._handle(message, address)
