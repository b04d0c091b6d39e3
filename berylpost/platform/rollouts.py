"""Orders to move a service's traffic to a version of its servers."""

import logging
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec

from ..logs import log_event
from .object_wire import StoredObject, reduce_spec

LOGGER: Final = logging.getLogger(__name__)

ACTIVE: Final = "active"
COMPLETE: Final = "complete"
REVERTED: Final = "reverted"


class _WireSpec(msgspec.Struct, frozen=True, rename="pascal"):
    to: str
    duration_s: float = msgspec.field(name="DurationS")
    service: str = ""


class _WireStatus(msgspec.Struct, frozen=True, rename="pascal"):
    state: str
    to: str = ""


_reduce_order_spec: Final = reduce_spec(_WireSpec)


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An order as stored.

    Attributes:
        name: name of the object.
        to: the ordered version.
        duration_s: time from the order to its deadline.
        revision: revision of the object.
        created_revision: revision of its creation; 0 if unknown.
        state: state that was written for this version; empty for none.
    """

    name: str
    service: str
    to: str
    duration_s: float
    revision: int
    created_revision: int
    state: str


def reduce_order(item: StoredObject) -> StoredObject:
    """Returns an order with the fields that `decode_order` reads."""
    try:
        status = msgspec.to_builtins(msgspec.convert(item.status, _WireStatus))
    except msgspec.ValidationError:
        status = None
    reduced = _reduce_order_spec(item)
    return replace(reduced, status=status)


def decode_order(item: StoredObject) -> RolloutOrder | None:
    """Decodes an order; returns None if it is malformed."""
    try:
        spec = msgspec.convert(item.spec, _WireSpec)
    except msgspec.ValidationError as error:
        log_event(LOGGER, "bad_rollout", logging.ERROR, object=item.name, error=error)
        return None
    return RolloutOrder(
        name=item.name,
        service=spec.service or item.name,
        to=spec.to,
        duration_s=spec.duration_s,
        revision=item.revision,
        created_revision=item.created_revision,
        state=_decode_state(item.status, spec.to),
    )


def encode_state(state: str, to: str) -> dict[str, Any]:
    """Encodes the status of an order."""
    return {"State": state, "To": to}


def _decode_state(status: Any, to: str) -> str:
    """Returns the state that was written for a version; empty for none."""
    try:
        found = msgspec.convert(status, _WireStatus)
    except msgspec.ValidationError:
        return ""
    return found.state if found.to == to else ""
