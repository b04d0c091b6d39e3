"""The datagrams by which the entry daemons know one another."""

from typing import Any, Final

import msgspec

from .store_era import UNKNOWN_ERA

# First byte of a datagram with a message; no MessagePack value begins with it.
MESSAGE_MARK: Final = b"\xc1"


class Standby(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A standby daemon that the sender has heard from.

    Attributes:
        stamp: its boot-time clock when it made the datagram, seconds.
        totals: units of quotas that it has used, if they changed lately.
        counts: its usage counts, if they changed lately.
    """

    name: str
    incarnation: int
    ip: str
    port: int
    zone: str
    n_cores: float
    stamp: float
    ready: bool
    leaving: bool
    totals: dict[str, list[float]]
    counts: dict[int, dict[str, int]]
    is_cut_off: bool = False


class Serving(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A daemon of the serving set, as told to standby daemons.

    Attributes:
        age_s: time since the sender heard from it, seconds.
        in_set: whether callers are sent to it.
        active: whether it exchanges totals; one in the set that does not is to begin.
    """

    name: str
    ip: str
    port: int
    zone: str
    age_s: float
    in_set: bool
    active: bool
    ready: bool
    leaving: bool
    watch_served: bool
    is_cut_off: bool = False


class Gossip(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One gossip datagram.

    Attributes:
        stamp: sender's boot-time clock when the datagram was made, seconds.
        echo: newest stamp that the sender got from this datagram's receiver, 0 for
            none.
        echo_incarnation: the receiver's incarnation when it sent that stamp.
        wall: sender's time of day, Unix seconds.
        leaving: whether the sender is shutting down and takes no new callers.
        ready: whether the sender serves callers.
        configuration_revision: revision of the sender's configuration.
        confirmation_age: age of the sender's last confirmation that this revision is
            current, seconds, when the datagram was made.
        backends_revision: revision up to which the sender knows the backend servers.
        backends_digest: equal for daemons that know the same entries.
        watch_served: whether the sender watches the store and gets answers.
        introduced: names and addresses of other daemons.
        body: running totals, opaque to the membership.
        configuration_number: number of the sender's configuration.
        store_era: era of the store to which the revisions belong.
        active: whether the sender exchanges totals with the other active daemons;
            otherwise it stands by.
        is_answer: whether it answers a datagram; no answer is answered.
        n_cores: processor cores that the sender may use.
        busy_share: share of the time for which callers keep the sender busy.
        standbys: standby daemons that the sender heard from, for active daemons.
        serving: active daemons that the sender knows, for standby daemons.
        is_cut_off: whether the sender is cut off from all backend servers.
    """

    name: str
    incarnation: int
    ip: str
    zone: str
    stamp: float
    echo: float
    echo_incarnation: int
    wall: float
    leaving: bool
    ready: bool
    configuration_revision: int
    confirmation_age: float
    backends_revision: int
    backends_digest: int
    watch_served: bool
    introduced: tuple[tuple[str, str, int], ...]
    body: msgspec.Raw
    configuration_number: int = 0
    store_era: int = UNKNOWN_ERA
    active: bool = True
    is_answer: bool = False
    n_cores: float = 0.0
    busy_share: float = 0.0
    standbys: tuple[Standby, ...] = ()
    serving: tuple[Serving, ...] = ()
    is_cut_off: bool = False


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Gossip)


def encode_gossip(gossip: Gossip) -> bytes:
    """Encodes a datagram."""
    return _ENCODER.encode(gossip)


def decode_gossip(data: bytes) -> Gossip:
    """Decodes a datagram.

    Raises:
        msgspec.MsgspecError: the bytes are no gossip.
    """
    return _DECODER.decode(data)


def decode_body(body: msgspec.Raw) -> Any:
    """Decodes the totals of a datagram.

    Raises:
        msgspec.MsgspecError: the bytes are no totals.
    """
    return msgspec.msgpack.decode(body)
