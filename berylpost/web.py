"""The HTTP server: CherryPy on its own cheroot server, with one route table.

Parses, authenticates and dispatches requests; the handlers are in `caller_api` and
`operator_api`, which register their routes. A streamed answer is not sent by the
HTTP server: before the first byte the gateway passes the socket to the relay, which
is its only owner from then on.
"""

import logging
import random
import socket
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, ClassVar, Final

import cherrypy
from cheroot.ssl.builtin import BuiltinSSLAdapter

from .configuration import Identity, hash_token
from .configurations import ConfigurationInForce
from .drain import DrainState, count_open
from .endpoints import split_endpoint
from .errors import BerylpostError, ErrorKind, SettingsError, render_problem
from .forwarding import Forwarder
from .kernel import Context, Plugin, Slot, register_plugin
from .logs import log_event
from .metrics import REFUSALS
from .web_gateway import (
    HANDOVER_KEY,
    STATUS_KINDS,
    HandoverGateway,
    ProblemConnection,
    read_body,
    reject_connection,
)
from .web_workers import BoundedServer

LOGGER: Final = logging.getLogger(__name__)
N_QUEUED_CONNECTIONS: Final = 512
# Bounds what comes after the drain, when new work is refused.
LAST_ANSWERS_S: Final = 5.0
MAX_HEADER_BYTES: Final = 64 << 10  # the server sets no bound by itself


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """One parsed request; header names are in lower case."""

    method: str
    path: str
    query: str
    params: Mapping[str, str]
    arguments: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    identity: Identity | None

    def require_identity(self) -> Identity:
        """Returns the caller's identity; routes with a role always have one."""
        assert self.identity is not None
        return self.identity


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete response."""

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class SocketHandover:
    """The response is written by `receiver`, which gets the caller's socket."""

    receiver: Callable[[socket.socket], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class AppState:
    """Objects that handlers use; created once per daemon."""

    context: Context
    forwarder: Forwarder
    random_state: random.Random

    def read_slot(self, name: str) -> Any:
        """Returns the current snapshot in a slot of the context."""
        return self.context.slots[name].read()


Handler = Callable[[AppState, HttpRequest], HttpResponse | SocketHandover]


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One row of the route table.

    Attributes:
        method: HTTP method, or `*` for any.
        pattern: path segments; `{name}` matches one, a final `{name*}` the rest.
        role: required role: `open` for none, `customer`, `operator`, or `any` for
            either of the two.
    """

    method: str
    pattern: tuple[str, ...]
    role: str
    handle: Handler


_ROUTES: list[Route] = []


def register_route(method: str, path: str, role: str, handle: Handler) -> None:
    """Adds a row to the route table."""
    pattern = tuple(path.strip("/").split("/"))
    _ROUTES.append(Route(method=method, pattern=pattern, role=role, handle=handle))


def match_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """Finds the route of a request.

    Raises:
        BerylpostError: `NOT_FOUND`, or `METHOD_NOT_ALLOWED` with the allowed methods.
    """
    segments = path.strip("/").split("/")
    allowed: list[str] = []
    for route in _ROUTES:
        params = _match_pattern(route.pattern, segments)
        if params is None:
            continue
        if route.method in ("*", method):
            return route, params
        allowed.append(route.method)
    if allowed:
        raise BerylpostError(
            ErrorKind.METHOD_NOT_ALLOWED, f"allowed: {', '.join(allowed)}"
        )
    raise BerylpostError(ErrorKind.NOT_FOUND, f"no resource at {path!r}")


def _match_pattern(
    pattern: tuple[str, ...], segments: list[str]
) -> dict[str, str] | None:
    params: dict[str, str] = {}
    for index, part in enumerate(pattern):
        if part.endswith("*}"):
            params[part[1:-2]] = "/".join(segments[index:])
            return params
        if index >= len(segments):
            return None
        if part.startswith("{"):
            params[part[1:-1]] = segments[index]
        elif part != segments[index]:
            return None
    return params if len(pattern) == len(segments) else None


def authenticate(
    headers: Mapping[str, str], in_force: Mapping[str, ConfigurationInForce], role: str
) -> Identity | None:
    """Returns the identity of a bearer token that has the required role.

    Returns:
        The identity, or None for open routes.

    Raises:
        BerylpostError: `UNAUTHENTICATED` or `FORBIDDEN`, or `STORE_UNAVAILABLE`
            while there is no configuration.
    """
    if role == "open":
        return None
    scheme, _, token = headers.get("authorization", "").partition(" ")
    digest = hash_token(token.strip()) if scheme.lower() == "bearer" else ""
    for configuration in in_force.values():
        identity = configuration.tokens.get(digest)
        if identity is None:
            continue
        has_role = {"customer": identity.customer, "operator": identity.operator}
        if role == "any" or has_role[role] is not None:
            return identity
        raise BerylpostError(ErrorKind.FORBIDDEN, f"needs the role {role}")
    if not in_force:
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, "no configuration yet", retry_after_s=1
        )
    raise BerylpostError(ErrorKind.UNAUTHENTICATED, "unknown bearer token")


class _Root:
    """The single CherryPy resource; requests are dispatched by the route table."""

    exposed = True

    def __init__(self, *, app: AppState) -> None:
        self._app = app

    def default(self, *_segments: str, **arguments: str) -> bytes:
        """Responds to any request."""
        try:
            result = self._dispatch(arguments)
        except BerylpostError as error:
            return _write_problem(error)
        except Exception:
            LOGGER.exception("event=request_error path=%s", cherrypy.request.path_info)
            return _write_problem(BerylpostError(ErrorKind.INTERNAL, "see the log"))
        if isinstance(result, SocketHandover):
            receivers = cherrypy.serving.request.wsgi_environ[HANDOVER_KEY]
            receivers.append(result.receiver)
            return b""
        return _write_response(result)

    default.exposed = True  # type: ignore[attr-defined]

    def _dispatch(self, arguments: Mapping[str, str]) -> HttpResponse | SocketHandover:
        request = cherrypy.serving.request
        path = request.path_info
        route, params = match_route(request.method, path)
        headers = {name.lower(): value for name, value in request.headers.items()}
        in_force: Slot[Mapping[str, ConfigurationInForce]] = self._app.context.slots[
            "configurations"
        ]
        identity = authenticate(headers, in_force.read(), route.role)
        has_body = request.method in _METHODS_WITH_BODY
        body = read_body(request.wsgi_environ, request.body.fp) if has_body else b""
        parsed = HttpRequest(
            method=request.method,
            path=path,
            query=request.query_string,
            params=params,
            arguments={k: v for k, v in arguments.items() if isinstance(v, str)},
            headers=headers,
            body=body,
            identity=identity,
        )
        return route.handle(self._app, parsed)


_METHODS_WITH_BODY: Final = frozenset({"POST", "PUT", "PATCH", "DELETE"})


def _write_problem(error: BerylpostError) -> bytes:
    REFUSALS.labels(error.kind).inc()
    status, headers, body = render_problem(error)
    return _write_response(
        HttpResponse(status=status, headers=tuple(headers), body=body)
    )


def _write_response(response: HttpResponse) -> bytes:
    cherrypy.response.status = response.status
    cherrypy.response.headers.pop("Content-Type", None)
    for name, value in response.headers:
        cherrypy.response.headers[name] = value
    return response.body


def _render_cherrypy_error(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Turns CherryPy's own errors into problem documents."""
    kind = STATUS_KINDS.get(int(status[:3]), ErrorKind.INTERNAL)
    _, headers, body = render_problem(BerylpostError(kind, message))
    for name, value in headers:
        cherrypy.response.headers[name] = value
    return body


class _Request(cherrypy.Application.request_class):  # type: ignore[misc]
    """Uses problem documents also when CherryPy refuses before it has a config."""

    error_page: ClassVar[dict[str, Any]] = {"default": _render_cherrypy_error}
    show_tracebacks = False


class WebTask:
    """The HTTP server of one daemon; its threads belong to cheroot."""

    def __init__(self, *, context: Context) -> None:
        listen = context.settings.listen
        self._context = context
        self._drain: Slot[DrainState] = context.slots["drain"]
        random_state = random.Random(f"{context.process_id}/{time.time_ns()}")
        app = AppState(
            context=context,
            forwarder=Forwarder(context=context, random_state=random_state),
            random_state=random_state,
        )
        application = cherrypy.Application(
            _Root(app=app),
            "",
            {
                "/": {
                    # Bodies must not be parsed as forms; `_dispatch` reads them.
                    "request.process_request_body": False,
                    "tools.trailing_slash.on": False,
                    "tools.encode.on": False,
                }
            },
        )
        application.request_class = _Request
        application.log.screen = False
        application.log.access_log.propagate = False
        application.log.error_log.propagate = False
        self._server = BoundedServer(
            split_endpoint(listen.http),
            application,
            numthreads=listen.threads,
            request_queue_size=N_QUEUED_CONNECTIONS,
            timeout=int(max(1, listen.read_timeout_s)),
            server_name="berylpost",
            reject=reject_connection,
            account=context.account,
            is_leaving=lambda: self._drain.read() is not DrainState.SERVING,
        )
        self._server.gateway = HandoverGateway
        self._server.ConnectionClass = ProblemConnection
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = listen.max_body_bytes
        setattr(self._server, "error_log", _log_server_error)  # noqa: B010
        if listen.tls_certificate:
            adapter = BuiltinSSLAdapter(listen.tls_certificate, listen.tls_key)
            self._server.ssl_adapter = adapter
        self._thread: threading.Thread | None = None
        context.unfinished["web"] = self._server.has_unfinished

    def start(self) -> None:
        """Binds the address and starts the server.

        Raises:
            SettingsError: if the address cannot be bound.
        """
        try:
            self._server.prepare()
        except OSError as error:
            raise SettingsError(f"$.listen.http: {error}") from error
        self._thread = threading.Thread(
            target=self._server.serve, name="web", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stops the server and its threads, after a drain without losing a request."""
        if self._drain.read() is DrainState.LEFT:
            self._server.finish(is_idle=self._is_relay_idle, timeout_s=LAST_ANSWERS_S)
        self._server.stop()
        if self._thread is not None:
            self._thread.join(5)

    def post(self, message: Any) -> None:
        """Ignores messages; nothing is sent to this task."""

    def _is_relay_idle(self) -> bool:
        return count_open(self._context) == 0


def _log_server_error(
    message: str = "", level: int = logging.INFO, traceback: bool = False
) -> None:
    log_event(LOGGER, "http_server", level, message=message, traceback=traceback)


def _build(context: Context) -> WebTask:
    # The handlers register their routes when they are imported.
    from . import caller_api, operator_api  # noqa: F401

    return WebTask(context=context)


register_plugin(
    Plugin(
        name="web",
        requires=("configurations", "backends", "relay", "services", "ledger", "drain"),
        build=_build,
    )
)
