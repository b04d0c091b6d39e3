"""What operators may ask: configuration, audit, status, drain; and the probes."""

import time
import uuid
from typing import Any, Final

import msgspec
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from . import VERSION
from .caller_api import reply_json
from .configurations import Offered, read_audit, submit_patch
from .drain import PlannedStop
from .errors import BerylpostError, ErrorKind, PlatformError
from .metrics import REGISTRY
from .planner import list_action_reasons
from .platform.objects import HttpObjects
from .web import HttpRequest, HttpResponse, Site, register_route
from .writer import ConditionalWriter

STARTED_AT: Final = time.monotonic()
MAX_AUDIT: Final = 1_000


def _open_store(site: Site) -> HttpObjects:
    platform = site.context.settings.platform
    return HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)


def _check_name(request: HttpRequest) -> str:
    """Lets an operator see no other deployment than its own."""
    name = request.params["name"]
    if request.require_identity().deployment != name:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no deployment {name!r}")
    return name


def _reply_number(number: int, value: object) -> HttpResponse:
    headers = (("Content-Type", "application/json"), ("ETag", f'"{number}"'))
    return HttpResponse(headers=headers, body=msgspec.json.encode(value))


def get_configuration(site: Site, request: HttpRequest) -> HttpResponse:
    """`GET /v1/deployments/{name}/configuration`: what is in force here."""
    versioned = site.slot("configurations")[_check_name(request)].versioned
    document = {"number": versioned.number, "configuration": versioned.document}
    return _reply_number(versioned.number, document)


def patch_configuration(site: Site, request: HttpRequest) -> HttpResponse:
    """`PATCH /v1/deployments/{name}/configuration`."""
    name = _check_name(request)
    operator = request.require_identity().operator
    assert operator is not None
    objects = _open_store(site)
    writer = ConditionalWriter(
        objects=objects, writer=f"{site.context.process_id}.{uuid.uuid4().hex}"
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
            base=_read_base(request),
            patch_id=request.headers.get("idempotency-key") or uuid.uuid4().hex,
            author=operator.name,
            media_type=media_type,
            patch=patch,
        )
    except PlatformError as error:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, str(error), retry_after_s=2
        ) from error
    site.context.post("configurations", Offered(versioned=versioned))
    return _reply_number(versioned.number, {"number": versioned.number})


def _read_base(request: HttpRequest) -> int:
    value = request.headers.get("if-match", "").strip().strip('"')
    if not value:
        raise BerylpostError(ErrorKind.NUMBER_REQUIRED, 'If-Match: "NUMBER"')
    if not value.isdecimal() or len(value) > 15:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"If-Match {value!r}; a number")
    return int(value)


def get_audit(site: Site, request: HttpRequest) -> HttpResponse:
    """`GET /v1/deployments/{name}/audit?limit=N`: newest first."""
    name = _check_name(request)
    limit = request.arguments.get("limit", "50")
    if not limit.isdecimal():
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"limit {limit!r}; a number")
    try:
        entries = read_audit(_open_store(site), name, min(int(limit), MAX_AUDIT))
    except PlatformError as error:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, str(error), retry_after_s=2
        ) from error
    return reply_json({"entries": entries})


def describe_status(site: Site) -> dict[str, Any]:
    """Describes this daemon and what it knows."""
    settings = site.context.settings
    members = [e.member for e in site.slot("members").entries.values()]
    numbers = {
        name: held.versioned.number
        for name, held in site.slot("configurations").items()
    }
    return {
        "daemon": settings.daemon.id,
        "version": VERSION,
        "zone": settings.daemon.zone,
        "region": settings.daemon.region,
        "process": site.context.process_id,
        "up_s": round(time.monotonic() - STARTED_AT, 1),
        "drain": site.slot("drain"),
        "ready": list_unready(site) == [],
        "configurations": numbers,
        "members": members_to_json(members),
        "backends": [
            msgspec.to_builtins(_name_fields(b)) for b in site.slot("backends").values()
        ],
    }


def members_to_json(members: list[Any]) -> list[dict[str, Any]]:
    """Describes members by field names; on the wire they are arrays."""
    return [_name_fields(m) for m in members]


def _name_fields(struct: Any) -> dict[str, Any]:
    return msgspec.structs.asdict(struct)


def list_unready(site: Site) -> list[str]:
    """Lists the parts that are not ready yet."""
    return sorted(n for n, ready in site.context.readiness.items() if not ready())


def get_status(site: Site, _: HttpRequest) -> HttpResponse:
    """`GET /v1/status`."""
    return reply_json(describe_status(site))


def get_fleet(site: Site, request: HttpRequest) -> HttpResponse:
    """`GET /v1/deployments/{name}/fleet`: the planner's last actions, with reasons."""
    try:
        reasons = list_action_reasons(_open_store(site), _check_name(request))
    except PlatformError as error:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, str(error), retry_after_s=2
        ) from error
    return reply_json({"actions": reasons})


def post_drain(site: Site, _: HttpRequest) -> HttpResponse:
    """`POST /v1/drain`: a planned stop of this daemon."""
    site.context.post("drain", PlannedStop())
    return reply_json({"drain": "accepted"}, 202)


def get_health(_: Site, __: HttpRequest) -> HttpResponse:
    """`GET /healthz`: the process answers."""
    return reply_json({"healthy": True})


def get_ready(site: Site, _: HttpRequest) -> HttpResponse:
    """`GET /readyz`: it has its configuration and takes work."""
    unready = list_unready(site)
    status = 503 if unready else 200
    return reply_json({"ready": not unready, "waiting_for": unready}, status)


def get_metrics(_: Site, __: HttpRequest) -> HttpResponse:
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
