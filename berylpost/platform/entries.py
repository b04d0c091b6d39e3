"""Decoding of the configuration and of backend servers' entries in the store."""

from typing import Annotated, Any, Final

import msgspec

from ..edge.model import (
    Backend,
    BackendState,
    CallerLimits,
    Customer,
    Endpoint,
    EngineShape,
    FleetBounds,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    ServingConfiguration,
)
from ..endpoints import split_endpoint

_MS: Final = 1_000.0
MAX_NUMBER: Final = 1 << 53  # larger ones are not exact as JSON numbers
_ROUTE_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}
_BACKEND_STATES: Final = {"ready": BackendState.READY, "draining": BackendState.LEAVING}


class InvalidEntryError(ValueError):
    """An object in the store that cannot be used; the message says why."""


_Count = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class _Split(msgspec.Struct, frozen=True, rename="pascal"):
    service: str
    weight: _Number = 1


class _Route(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Number = 30_000
    target_latency_ms: _Number = 1_000
    gap_aim_ms: _Number = 0
    priority: _Count = 5
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: _Count = 1
    public: bool = False
    can_resume: bool = False


class _Engine(msgspec.Struct, frozen=True, rename="pascal"):
    slots: _Count
    kv_capacity: _Count
    stride: _Count = 1


class _Scaling(msgspec.Struct, frozen=True, rename="pascal"):
    min: _Count
    max: _Count
    boot_s: _Number = 0
    spot_price: _Number = 1
    zone_prices: dict[str, _Number] = {}


class _Service(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    max_conns: _Count = 64
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Number = 3_000
    idle_timeout_ms: _Number = 15_000


class _Tenant(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: _Count | None = None
    unit: str = ""
    plain_tokens: _Number = 1
    rate_per_s: _Number = 0
    burst: _Number = 0


class _Configuration(msgspec.Struct, frozen=True, rename="pascal"):
    version: _Count
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Backend(msgspec.Struct, frozen=True, rename="pascal"):
    """The entry that a backend server stores about itself.

    `Version` is the version of its software, not of model weights. `ColdLeftMs` is the
    time for which it remains slow after its start.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_left_ms: float
    seq: int
    spot: bool = False
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")
    born: float = msgspec.field(default=0, name="born")


def decode_configuration(spec: Any, revision: int) -> ServingConfiguration:
    """Decodes a configuration.

    Args:
        spec: spec of the stored object.
        revision: revision of the stored object.

    Raises:
        InvalidEntryError: the spec is not a valid configuration.
    """
    try:
        wire = msgspec.convert(spec, _Configuration)
    except msgspec.ValidationError as error:
        raise InvalidEntryError(f"configuration: {error}") from error
    routes: dict[str, list[Route]] = {}
    for route in wire.routes:
        if route.kind not in _ROUTE_KINDS:
            raise InvalidEntryError(f"route {route.name}: unknown kind {route.kind!r}")
        routes.setdefault(route.host.lower(), []).append(
            _make_route(route, has_keys=bool(wire.tenants))
        )
    return ServingConfiguration(
        number=wire.version,
        revision=revision,
        routes={
            host: tuple(sorted(group, key=lambda r: -len(r.prefix)))
            for host, group in routes.items()
        },
        services={service.name: _make_service(service) for service in wire.services},
        customers={tenant.name: _make_customer(tenant) for tenant in wire.tenants},
        keys={key: tenant.name for tenant in wire.tenants for key in tenant.api_keys},
        limits=CallerLimits(
            header_bytes=wire.limits.header_bytes,
            body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_ms / _MS,
            idle_timeout_s=wire.limits.idle_timeout_ms / _MS,
        ),
    )


def _make_route(wire: _Route, *, has_keys: bool) -> Route:
    shares = tuple(
        ServiceShare(part.service, part.weight) for part in wire.traffic_split
    )
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=_ROUTE_KINDS[wire.kind],
        timeout_s=wire.timeout_ms / _MS,
        objective_s=wire.target_latency_ms / _MS,
        max_gap_s=wire.gap_aim_ms / _MS,
        priority=wire.priority,
        shares=shares or (ServiceShare(wire.service, 1.0),),
        max_attempts=max(1, wire.max_attempts),
        needs_key=has_keys and not wire.public,
        can_resume=wire.can_resume and wire.kind == "streaming",
    )


def _make_service(wire: _Service) -> Service:
    return Service(
        name=wire.name,
        max_connections=wire.max_conns,
        engine=_make_engine(wire.engine) if wire.engine else None,
        fleet=_make_fleet(wire.scaling) if wire.scaling else None,
    )


def _make_engine(wire: _Engine) -> EngineShape:
    return EngineShape(
        slots=wire.slots, kv_tokens=wire.kv_capacity, event_tokens=wire.stride
    )


def _make_fleet(wire: _Scaling) -> FleetBounds:
    return FleetBounds(
        n_min=wire.min,
        n_max=wire.max,
        boot_s=wire.boot_s,
        spot_price=wire.spot_price,
        zone_prices=wire.zone_prices,
    )


def _make_customer(wire: _Tenant) -> Customer:
    return Customer(
        name=wire.name,
        priority=wire.priority,
        counts_tokens=wire.unit == "tokens",
        default_units=wire.plain_tokens if wire.unit == "tokens" else 1.0,
        rate=wire.rate_per_s,
        burst=wire.burst,
    )


def reduce_backend(spec: Any) -> dict[str, Any]:
    """Returns the fields of a backend server's entry that `decode_backend` reads.

    Raises:
        InvalidEntryError: a field is missing or has the wrong type.
    """
    try:
        wire = msgspec.convert(spec, _Backend)
    except msgspec.ValidationError as error:
        raise InvalidEntryError(str(error)) from error
    reduced: dict[str, Any] = msgspec.to_builtins(wire)
    return reduced


def decode_backend(name: str, spec: Any) -> Backend:
    """Decodes a backend server's entry.

    Args:
        name: name of the stored object, which is the id of the server.
        spec: spec of the stored object.

    Raises:
        InvalidEntryError: a field is missing or wrong, so that the server cannot be
            used.
    """
    try:
        wire = msgspec.convert(spec, _Backend)
        address = Endpoint(*split_endpoint(wire.address))
    except (msgspec.ValidationError, ValueError) as error:
        raise InvalidEntryError(f"backend server {name}: {error}") from error
    if wire.state not in _BACKEND_STATES:
        raise InvalidEntryError(f"backend server {name}: unknown state {wire.state!r}")
    numbers = {"Slots": wire.slots, "leaves_ms": wire.leaves_ms or 0, "born": wire.born}
    for field, value in numbers.items():
        if abs(value) > MAX_NUMBER or (field == "Slots" and value < 1):
            raise InvalidEntryError(
                f"backend server {name}: {field} {value} out of range"
            )
    return Backend(
        id=name,
        service=wire.service,
        address=address,
        zone=wire.zone,
        software_version=wire.version,
        slots=wire.slots,
        state=_BACKEND_STATES[wire.state],
        spot=wire.spot,
        leaves_in_s=None if wire.leaves_ms is None else wire.leaves_ms / _MS,
        started_ms=int(wire.born),
    )
