"""HTTP handlers for operators, and the open health, readiness and metrics probes.

Operators use them for the configuration, its audit, the fleet, the status and drain.
"""

import time
import uuid
from typing import Any, Final

import msgspec
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from . import VERSION
from .caller_api import reply_json
from .configurations import ConfigurationReceived, read_audit, submit_patch
from .drain import PlannedStop
from .errors import BerylpostError, ErrorKind, PlatformError
from .metrics import REGISTRY
from .planner import list_action_reasons
from .platform.objects import HttpObjects
from .web import AppState, HttpRequest, HttpResponse, register_route
from .writer import ConditionalWriter

STARTED_AT: Final = time.monotonic()
MAX_AUDIT_ENTRIES: Final = 1_000


def _open_store(app: AppState) -> HttpObjects:
    platform = app.context.settings.platform
    return HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)


def _check_own_deployment(request: HttpRequest) -> str:
    """Returns the deployment's name; refuses any but the operator's own."""
    name = request.params["name"]
    if request.require_identity().deployment != name:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no deployment {name!r}")
    return name


def _reply_with_etag(number: int, value: object) -> HttpResponse:
    headers = (("Content-Type", "application/json"), ("ETag", f'"{number}"'))
    return HttpResponse(headers=headers, body=msgspec.json.encode(value))


def get_configuration(app: AppState, request: HttpRequest) -> HttpResponse:
    """`GET /v1/deployments/{name}/configuration`: the one in force on this daemon."""
    versioned = app.read_slot("configurations")[
        _check_own_deployment(request)
    ].versioned
    document = {"number": versioned.number, "configuration": versioned.document}
    return _reply_with_etag(versioned.number, document)


def patch_configuration(app: AppState, request: HttpRequest) -> HttpResponse:
    """`PATCH /v1/deployments/{name}/configuration`."""
    name = _check_own_deployment(request)
    operator = request.require_identity().operator
    assert operator is not None
    objects = _open_store(app)
    writer = ConditionalWriter(
        objects=objects, writer=f"{app.context.process_id}.{uuid.uuid4().hex}"
    )
    media_type = request.headers.get("content-type", "").partition(";")[0].strip()
    try:
        patch = msgspec.json.decode(request.body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"body: {error}") from error
    try:
        versioned = submit_patch(
            objects,
            writer,
            name=name,
            base=_read_if_match(request),
            patch_id=request.headers.get("idempotency-key") or uuid.uuid4().hex,
            author=operator.name,
            media_type=media_type,
            patch=patch,
            in_force=app.read_slot("configurations")[name].versioned,
        )
    except PlatformError as error:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, str(error), retry_after_s=2
        ) from error
    app.context.post("configurations", ConfigurationReceived(versioned=versioned))
    return _reply_with_etag(versioned.number, {"number": versioned.number})


def _read_if_match(request: HttpRequest) -> int:
    value = request.headers.get("if-match", "").strip().strip('"')
    if not value:
        raise BerylpostError(ErrorKind.NUMBER_REQUIRED, 'If-Match: "NUMBER"')
    if not value.isdecimal() or len(value) > 15:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"If-Match {value!r}; a number")
    return int(value)


def get_audit(app: AppState, request: HttpRequest) -> HttpResponse:
    """`GET /v1/deployments/{name}/audit?limit=N`: newest first."""
    name = _check_own_deployment(request)
    limit = request.arguments.get("limit", "50")
    if not limit.isdecimal():
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"limit {limit!r}; a number")
    try:
        entries = read_audit(_open_store(app), name, min(int(limit), MAX_AUDIT_ENTRIES))
    except PlatformError as error:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, str(error), retry_after_s=2
        ) from error
    return reply_json({"entries": entries})


def describe_status(app: AppState) -> dict[str, Any]:
    """Describes this daemon and its view of members and backend servers."""
    settings = app.context.settings
    members = [e.member for e in app.read_slot("members").entries.values()]
    numbers = {
        name: in_force.versioned.number
        for name, in_force in app.read_slot("configurations").items()
    }
    return {
        "daemon": settings.daemon.id,
        "version": VERSION,
        "zone": settings.daemon.zone,
        "region": settings.daemon.region,
        "process": app.context.process_id,
        "up_s": round(time.monotonic() - STARTED_AT, 1),
        "drain": app.read_slot("drain"),
        "ready": list_unready(app) == [],
        "configurations": numbers,
        "members": members_to_json(members),
        "backends": [
            msgspec.to_builtins(_to_dict(b)) for b in app.read_slot("backends").values()
        ],
    }


def members_to_json(members: list[Any]) -> list[dict[str, Any]]:
    """Converts members to objects with field names; on the wire they are arrays."""
    return [_to_dict(m) for m in members]


def _to_dict(struct: Any) -> dict[str, Any]:
    return msgspec.structs.asdict(struct)


def list_unready(app: AppState) -> list[str]:
    """Lists the names of the readiness checks that do not pass."""
    return sorted(n for n, ready in app.context.readiness.items() if not ready())


def get_status(app: AppState, _: HttpRequest) -> HttpResponse:
    """`GET /v1/status`."""
    return reply_json(describe_status(app))


def get_fleet(app: AppState, request: HttpRequest) -> HttpResponse:
    """`GET /v1/deployments/{name}/fleet`: the planner's last actions, with reasons."""
    try:
        reasons = list_action_reasons(_open_store(app), _check_own_deployment(request))
    except PlatformError as error:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, str(error), retry_after_s=2
        ) from error
    return reply_json({"actions": reasons})


def post_drain(app: AppState, _: HttpRequest) -> HttpResponse:
    """`POST /v1/drain`: starts a planned stop of this daemon."""
    app.context.post("drain", PlannedStop())
    return reply_json({"drain": "accepted"}, 202)


def get_health(_: AppState, __: HttpRequest) -> HttpResponse:
    """`GET /healthz`: succeeds while the process responds."""
    return reply_json({"healthy": True})


def get_ready(app: AppState, _: HttpRequest) -> HttpResponse:
    """`GET /readyz`: succeeds when all readiness checks pass."""
    unready = list_unready(app)
    status = 503 if unready else 200
    return reply_json({"ready": not unready, "waiting_for": unready}, status)


def get_metrics(_: AppState, __: HttpRequest) -> HttpResponse:
    """`GET /metrics`, in the Prometheus text format."""
    return HttpResponse(
        headers=(("Content-Type", CONTENT_TYPE_LATEST),), body=generate_latest(REGISTRY)
    )


CONFIGURATION_PATH: Final = "/v1/deployments/{name}/configuration"
register_route("GET", CONFIGURATION_PATH, "operator", get_configuration)
register_route("PATCH", CONFIGURATION_PATH, "operator", patch_configuration)
register_route("GET", "/v1/deployments/{name}/audit", "operator", get_audit)
register_route("GET", "/v1/deployments/{name}/fleet", "operator", get_fleet)
register_route("GET", "/v1/status", "operator", get_status)
register_route("POST", "/v1/drain", "operator", post_drain)
register_route("GET", "/healthz", "open", get_health)
register_route("GET", "/readyz", "open", get_ready)
register_route("GET", "/metrics", "open", get_metrics)
