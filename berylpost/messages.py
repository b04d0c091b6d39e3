"""Typed messages between daemons and their MessagePack codec.

`Message` is the closed union of all messages; `encode` and `decode` are its only
codec. A message carries the id of its sender, so that the receiver can reply over
its own socket to the address in its membership table. Messages between tasks of one
daemon are plain data classes, not part of this registry.
"""

from typing import Any, Final

import msgspec
from msgspec import Struct

from .configuration import AuditEntry, VersionedConfiguration
from .errors import ErrorKind, ExecutionStatus
from .rate_limits import Statement
from .request_holds import WireRecord


class Member(Struct, frozen=True, kw_only=True, array_like=True):
    """The membership record of one daemon.

    Attributes:
        http: address for callers, IP-NUMBER:PORT.
        peers: address for other daemons, IP-NUMBER:PORT.
        incarnation: version of the record; only the member itself increases it, and
            the record with the higher one takes precedence.
        state: `alive`, `suspect`, `leaving`, `left` or `dead`.
        successor: for `leaving` and `left`, the daemon that took over the requests.
        key: public CURVE key that the daemon listens with, or empty.
        tunnels: address on which it passes connections to backend servers on, or empty.
    """

    id: str
    zone: str
    http: str
    peers: str
    incarnation: int
    state: str = "alive"
    successor: str = ""
    key: str = ""
    tunnels: str = ""


class Backend(Struct, frozen=True, kw_only=True, array_like=True):
    """The record of a backend server that daemons exchange.

    The state of a backend server only moves forward and VM ids are never reused, so
    records of one server can be merged without a version.

    Attributes:
        id: id of its VM.
        role: `engine` or `service`.
        name: the model or service that it runs.
        state: `running`, `leaving` or `gone`.
        deadline: wall clock time at which the VM of a leaving server is removed,
            in seconds; 0 while it is not known.
    """

    id: str
    role: str
    name: str
    deployment: str
    address: str
    zone: str
    state: str = "running"
    deadline: float = 0.0


class GossipUpdate(Struct, frozen=True, kw_only=True, array_like=True):
    """State exchanged by gossip: members, configuration numbers, backend servers."""

    members: tuple[Member, ...] = ()
    numbers: tuple[tuple[str, int], ...] = ()
    backends: tuple[Backend, ...] = ()


class _Tagged(Struct, frozen=True, kw_only=True, tag=True):
    sender: str


class Probe(_Tagged, frozen=True, kw_only=True):
    """Probes the receiver or, if `target` is set, asks it to probe that member."""

    sequence: int
    news: GossipUpdate
    target: str = ""


class ProbeAnswer(_Tagged, frozen=True, kw_only=True):
    """Answers a probe; `about` names the probed member if the probe was indirect."""

    sequence: int
    news: GossipUpdate
    about: str = ""


class Join(_Tagged, frozen=True, kw_only=True):
    """Asks a seed, whose id need not be known, for its table if it differs.

    A daemon that knows no other member sends it repeatedly; all others send it from
    time to time, so that the sides of a partitioned region find each other again.
    """

    member: Member
    digest: int


class SyncDigest(_Tagged, frozen=True, kw_only=True):
    """Anti-entropy: a digest; a receiver with another digest sends its whole table."""

    digest: int


class SyncTable(_Tagged, frozen=True, kw_only=True):
    """Anti-entropy: the whole table of this region; `reply` asks for the receiver's."""

    news: GossipUpdate
    reply: bool = False


class ConfigurationPull(_Tagged, frozen=True, kw_only=True):
    """Asks for a deployment's document if its number is higher than `have`."""

    deployment: str
    have: int


class ConfigurationPush(_Tagged, frozen=True, kw_only=True):
    """Carries the patches since the receiver's number, or the whole document."""

    deployment: str
    number: int
    entries: tuple[AuditEntry, ...] = ()
    full: VersionedConfiguration | None = None


class IntentRequest(_Tagged, frozen=True, kw_only=True):
    """Asks a shard's owner for the right to send a call that must not be repeated."""

    request: str
    shard: int
    key: str
    digest: str
    waits: bool = True
    issued_at: float | None = None


class IntentAnswer(_Tagged, frozen=True, kw_only=True):
    """The shard owner's answer to an `IntentRequest`.

    Attributes:
        verdict: `granted`, `known`, `pending`, `moved` or `refused`.
        owner: for `moved`, the owner that the sender knows of.
    """

    request: str
    verdict: str
    outcome: "Outcome | None" = None
    kind: ErrorKind | None = None
    ran: ExecutionStatus | None = None
    owner: str = ""


class Outcome(Struct, frozen=True, kw_only=True, array_like=True):
    """The outcome of a call; `kept` is false if the answer was too large to store."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


class OutcomeReport(_Tagged, frozen=True, kw_only=True):
    """Reports the outcome of a granted call, or `unsent` if nothing was sent."""

    request: str
    shard: int
    key: str
    unsent: bool = False
    outcome: Outcome | None = None


class HeldRequest(Struct, frozen=True, kw_only=True):
    """An accepted model request as it is transferred between daemons.

    Attributes:
        deadline_s: seconds left until the deadline of the request when it was sent.
        text: the answer so far, in UTF-8.
        ends: offsets in `text` at which the text of each event ends, as 32-bit
            unsigned little-endian integers.
        backend: the backend server that the request ran on, which probably holds
            its cache.
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
    """Confirms that the report is in the shard owner's journal."""

    request: str


class DeferRequest(_Tagged, frozen=True, kw_only=True):
    """Asks a shard's owner to store and run a request whose caller does not wait."""

    shard: int
    held: HeldRequest


class DeferAnswer(_Tagged, frozen=True, kw_only=True):
    """The owner's answer to a `DeferRequest`; an `accepted` request is durable."""

    request: str
    accepted: bool
    kind: ErrorKind | None = None


class Handover(_Tagged, frozen=True, kw_only=True):
    """Hands over accepted requests to a successor; idempotent."""

    batch: str
    requests: tuple[HeldRequest, ...]


class HandoverAnswer(_Tagged, frozen=True, kw_only=True):
    """The successor accepts the batch, or refuses it because it is leaving too."""

    batch: str
    accepted: bool


class PartReport(_Tagged, frozen=True, kw_only=True):
    """Carries records of prompt parts that were on engines when these ended."""

    records: tuple[WireRecord, ...]


class PartPull(_Tagged, frozen=True, kw_only=True):
    """Asks for records of held parts; `held` names those that the sender holds."""

    held: tuple[int, ...]


class RateReport(_Tagged, frozen=True, kw_only=True):
    """Carries request rates that engines have named, or their end."""

    statements: tuple[Statement, ...]


class RateQuestion(_Tagged, frozen=True, kw_only=True):
    """Asks for request rates; `digest` is equal for daemons that know the same."""

    digest: int


class Notice(_Tagged, frozen=True, kw_only=True):
    """Sends an update to a member at once instead of with the next probe."""

    news: GossipUpdate


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
    | PartReport
    | PartPull
    | RateReport
    | RateQuestion
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as MessagePack."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message from MessagePack.

    Raises:
        msgspec.MsgspecError: the data is not a valid message.
    """
    message: Message = _DECODER.decode(data)
    return message
