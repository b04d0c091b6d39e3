"""The state of one request while it is served, and how its attempts may end."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..errors import BerylpostError, ErrorKind
from ..event_stream import EventSplitter
from ..hashing import hash_text
from ..request_holds import Suspects, digest_request
from .caller_requests import CallerRequest
from .clock import read_boottime
from .model import Customer, RequestHead, Route, ServingConfiguration
from .upstream import AnswerHead

MAX_LOGGED_PARTS: Final = 8  # bounds the length of a log line
MIN_LEFT_S: Final = 0.02  # a backend server cannot start on a request in less time


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """State of one request while it is served.

    Attributes:
        expires_at: boot-time clock by which the request must be answered.
        suspects: what of the request may crash servers.
        may_have_run: whether an attempt may have run the request.
        n_sent: number of attempts that were sent.
        n_run: number of attempts that may have run.
        n_not_run: number of attempts that certainly have not.
        last_answer: a backend server's error answer, sent if no better one follows.
        usage_counted: whether the request is in the customer's usage.
        work_metered: whether the request is in the work that sets the fleet size.
        head_sent: whether the head of the answer was sent to the caller.
        stream_version: software version at which the stream must go on; None while any
            will do.
        first_version: software version at which a new stream begins if a server of it
            can be used; None for any.
        backend_id: backend server of the last attempt.
        kv_source: location of the KV cache of the stopped run; empty for none.
        may_be_stopped: whether the server of the last attempt stopped the run, or may
            have done so, in order to move it.
        moved_to: backend server that continues the run; empty for any.
        n_ahead: prompt tokens that the chosen engine was known to read before.
        wait_error_s: time from sending the last attempt to its first token beyond the
            predicted one; None if its service's speeds are not learned.
        is_trial: whether the request tries what is otherwise held back.
        takes_new: whether the request goes to the version of an order that is not yet
            decided; None before that is drawn.
        on_first_event: called when the first event of a server's stream has arrived.
    """

    request: CallerRequest
    head: RequestHead
    route: Route
    customer: Customer | None
    configuration: ServingConfiguration
    service: str
    units: float
    expires_at: float
    suspects: Suspects
    may_have_run: bool = False
    n_sent: int = 0
    n_run: int = 0
    n_not_run: int = 0
    usage_counted: bool = False
    work_metered: bool = False
    tried: list[str] = field(default_factory=list)
    last_answer: tuple[AnswerHead, bytes] | None = None
    head_sent: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    kv_source: str = ""
    may_be_stopped: bool = False
    moved_to: str = ""
    is_trial: bool = False
    n_moves: int = 0
    stream_version: str | None = None
    first_version: str | None = None
    backend_id: str = ""
    first_byte_s: float = -1.0
    predicted_wait_s: float = 0.0
    n_ahead: float = 0.0
    wait_error_s: float | None = None
    takes_new: bool | None = None
    on_first_event: Callable[[], None] = lambda: None

    @property
    def urgency(self) -> int:
        """Urgency of the request, from 0 (most urgent) to 9."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return max(0, min(9, customer.priority))
        return max(0, min(9, self.route.priority))

    @property
    def left_s(self) -> float:
        """Seconds until the request expires."""
        return self.expires_at - read_boottime()


class RunMoved(Exception):
    """A run was stopped on its engine in order to continue on another."""


class AttemptFailed(Exception):
    """An attempt ended without an answer for the caller.

    Attributes:
        may_have_run: whether the backend server may have run the request.
        unreachable: whether the backend server may no longer exist.
    """

    def __init__(self, detail: str, *, may_have_run: bool, unreachable: bool) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run
        self.unreachable = unreachable


def make_refusal(kind: ErrorKind, detail: str, retry_after_s: float) -> BerylpostError:
    """Makes the error that refuses a request before it has run."""
    return BerylpostError(kind, detail, retry_after_s=retry_after_s)


def list_suspects(request: CallerRequest, head: RequestHead, customer: str) -> Suspects:
    """Lists what of a request may crash servers; ids of attempts do not count."""
    digest = digest_request(
        head.method,
        head.host.encode("latin-1"),
        head.target,
        customer.encode(),
        request.body,
    )
    return Suspects(tuple(map(hash_text, head.shared_parts)), digest)


def render_parts(head: RequestHead) -> str:
    """Renders the shared parts of a prompt for a log line."""
    return ",".join(head.shared_parts[:MAX_LOGGED_PARTS])
