"""One request on its way, and how its attempts may end."""

from dataclasses import dataclass, field
from typing import Final

from ..errors import BerylpostError, ErrorKind
from .callers import CallerRequest
from .clock import read_boottime
from .event_stream import EventSplitter
from .model import Customer, RequestHead, Route, ServingConfiguration
from .upstream import AnswerHead

MIN_LEFT_S: Final = 0.02  # less is no time for a backend server to start


@dataclass(slots=True, kw_only=True)
class Work:
    """One request on its way.

    Attributes:
        expires_at: age clock at which it is answered at the latest.
        maybe_run: an attempt may have run.
        n_sent: attempts that were sent.
        last_answer: a backend server's failure, told if nothing better comes.
        counted: it is in the customer's usage.
        metered: it is in the work that the fleet's size follows.
        started: the answer's head went to the caller.
        backend: the server of the last attempt.
        kv_source: where the KV cache of the stopped run lies; empty for none.
        moved_to: the server that takes the run up, empty for any.
    """

    request: CallerRequest
    head: RequestHead
    route: Route
    customer: Customer | None
    configuration: ServingConfiguration
    service: str
    units: float
    expires_at: float
    maybe_run: bool = False
    n_sent: int = 0
    n_run: int = 0
    counted: bool = False
    metered: bool = False
    tried: list[str] = field(default_factory=list)
    last_answer: tuple[AnswerHead, bytes] | None = None
    started: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    kv_source: str = ""
    moved_to: str = ""
    n_moves: int = 0
    backend: str = ""
    first_byte_s: float = -1.0
    wait_s: float = 0.0

    @property
    def urgency(self) -> int:
        """How urgent the request is, 0 for first to 9."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return max(0, min(9, customer.priority))
        return max(0, min(9, self.route.priority))

    @property
    def left_s(self) -> float:
        """Seconds until the request expires."""
        return self.expires_at - read_boottime()


class RunMoved(Exception):
    """A run was stopped at its engine so that it goes on at another."""


class AttemptFailed(Exception):
    """An attempt ended without an answer for the caller.

    Attributes:
        ran: whether the backend server may have run the request.
        gone: whether the server may not be there any more.
    """

    def __init__(self, detail: str, *, ran: bool, gone: bool) -> None:
        super().__init__(detail)
        self.ran = ran
        self.gone = gone


def refuse(kind: ErrorKind, detail: str, retry_after_s: float) -> BerylpostError:
    """Makes the refusal of a request that has not run."""
    return BerylpostError(kind, detail, retry_after_s=retry_after_s)
