"""Typed messages between daemons, one registry, one codec (MessagePack).

`Message` is the closed union; `encode` and `decode` are its only codec. Messages
carry the sender's id, so that a reply goes out over the receiver's own socket to
the address that membership knows. Messages between tasks of one daemon are plain
data classes in the module of the task that receives them.
"""

from typing import Any, Final

import msgspec
from msgspec import Struct

from .configuration import AuditEntry, VersionedConfiguration
from .errors import ErrorKind, ExecutionStatus


class Member(Struct, frozen=True, kw_only=True, array_like=True):
    """What daemons know of one another.

    Attributes:
        incarnation: raised only by the member itself; a higher one wins.
        state: `alive`, `suspect`, `leaving`, `left` or `dead`.
        successor: for `leaving` and `left`, who took the requests over.
        http: where callers connect, IP-NUMBER:PORT.
        peers: where daemons connect.
        key: the public CURVE key it listens with, or empty.
    """

    id: str
    zone: str
    http: str
    peers: str
    incarnation: int
    state: str = "alive"
    successor: str = ""
    key: str = ""


class Backend(Struct, frozen=True, kw_only=True, array_like=True):
    """A backend server as daemons tell one another of it.

    Its state only ever moves forward and VM ids are never used again, so news of
    one server merge without a version.

    Attributes:
        id: of its VM.
        role: `engine` or `service`.
        name: the model or service it runs.
        state: `running`, `leaving` or `gone`.
        deadline: wall clock at which a leaving one is taken, in seconds.
    """

    id: str
    role: str
    name: str
    deployment: str
    address: str
    zone: str
    state: str = "running"
    deadline: float = 0.0


class News(Struct, frozen=True, kw_only=True, array_like=True):
    """What rides on probes: members, numbers of configurations, notices."""

    members: tuple[Member, ...] = ()
    numbers: tuple[tuple[str, int], ...] = ()
    backends: tuple[Backend, ...] = ()


class _Tagged(Struct, frozen=True, kw_only=True, tag=True):
    sender: str


class Probe(_Tagged, frozen=True, kw_only=True):
    """Asks whether the receiver lives; `target` asks it to probe a third one."""

    sequence: int
    news: News
    target: str = ""


class ProbeAnswer(_Tagged, frozen=True, kw_only=True):
    """Answers a probe; `about` names the third one when it was indirect."""

    sequence: int
    news: News
    about: str = ""


class Join(_Tagged, frozen=True, kw_only=True):
    """Asks a seed, whose id need not be known, for its table if it differs.

    Sent by a daemon that knows nobody, and now and then by all, which is how two
    halves of a region find each other again.
    """

    member: Member
    digest: int


class SyncDigest(_Tagged, frozen=True, kw_only=True):
    """Anti-entropy: a digest of the table; a differing receiver answers in full."""

    digest: int


class SyncTable(_Tagged, frozen=True, kw_only=True):
    """Anti-entropy: the whole table of this region."""

    news: News
    reply: bool = False


class ConfigurationPull(_Tagged, frozen=True, kw_only=True):
    """Asks for a deployment's document above the number the sender has."""

    deployment: str
    have: int


class ConfigurationPush(_Tagged, frozen=True, kw_only=True):
    """Carries a document: the patches since the receiver's number, or all of it."""

    deployment: str
    number: int
    entries: tuple[AuditEntry, ...] = ()
    full: VersionedConfiguration | None = None


class IntentRequest(_Tagged, frozen=True, kw_only=True):
    """Asks a shard's owner for the right to send one call that may not repeat."""

    request: str
    shard: int
    key: str
    digest: str
    waits: bool = True
    issued_at: float | None = None


class IntentAnswer(_Tagged, frozen=True, kw_only=True):
    """The owner's answer.

    Attributes:
        verdict: `granted`, `known`, `pending`, `moved`, `refused`.
        owner: for `moved`, the owner as this daemon knows it.
    """

    request: str
    verdict: str
    outcome: "Outcome | None" = None
    kind: ErrorKind | None = None
    ran: ExecutionStatus | None = None
    owner: str = ""


class Outcome(Struct, frozen=True, kw_only=True, array_like=True):
    """What came of a call; `kept` is false when the answer was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


class OutcomeReport(_Tagged, frozen=True, kw_only=True):
    """The grantee's report: an outcome, or `unsent` when nothing was sent."""

    request: str
    shard: int
    key: str
    unsent: bool = False
    outcome: Outcome | None = None


class HeldRequest(Struct, frozen=True, kw_only=True):
    """An accepted model request as it moves between daemons.

    Attributes:
        deadline_s: seconds left until its deadline when it was sent.
        text: the answer so far, UTF-8.
        ends: where each event's text ends in it, 32-bit unsigned little-endian.
        backend: the backend server it ran on, likely to hold its cache.
    """

    id: str
    deployment: str
    customer: str
    chat: bool
    stream: bool
    body: dict[str, Any]
    deadline_s: float
    text: bytes
    ends: bytes
    n_tokens: int
    backend: str
    finish_reason: str = ""
    error: ErrorKind | None = None


class OutcomeAnswer(_Tagged, frozen=True, kw_only=True):
    """The owner has the report in its journal."""

    request: str


class DeferRequest(_Tagged, frozen=True, kw_only=True):
    """Asks a shard's owner to keep and run a request whose caller will not wait."""

    shard: int
    held: HeldRequest


class DeferAnswer(_Tagged, frozen=True, kw_only=True):
    """The owner's answer; `accepted` means that the request is durable."""

    request: str
    accepted: bool
    kind: ErrorKind | None = None


class Handover(_Tagged, frozen=True, kw_only=True):
    """Hands accepted requests to a successor; repeating it changes nothing."""

    batch: str
    requests: tuple[HeldRequest, ...]


class HandoverAnswer(_Tagged, frozen=True, kw_only=True):
    """The successor holds the batch, or refuses it because it leaves itself."""

    batch: str
    accepted: bool


class Notice(_Tagged, frozen=True, kw_only=True):
    """Pushes news at once to neighbours instead of waiting for the next probe."""

    news: News


Message = (
    Probe
    | ProbeAnswer
    | Join
    | SyncDigest
    | SyncTable
    | ConfigurationPull
    | ConfigurationPush
    | IntentRequest
    | IntentAnswer
    | OutcomeReport
    | OutcomeAnswer
    | DeferRequest
    | DeferAnswer
    | Handover
    | HandoverAnswer
    | Notice
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes one message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decodes one message.

    Raises:
        msgspec.MsgspecError: not a message of this registry.
    """
    message: Message = _DECODER.decode(data)
    return message
