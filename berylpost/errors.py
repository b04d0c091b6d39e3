"""The closed registry of error kinds and the response to each one.

Every refusal or failure that is reported to a caller is an `ErrorKind`;
`ERROR_RESPONSES` maps it to an HTTP status and to whether the request was executed.
Nothing else decides the status code of an error. docs/errors.md lists the kinds; a
test compares the page with this table.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, TypeAlias

import msgspec

PROBLEM_TYPE: Final = "application/problem+json"


class ExecutionStatus(StrEnum):
    """Whether the refused or failed request took effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(StrEnum):
    """Kind of an error; each one has an entry in `ERROR_RESPONSES`."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    STALE_NUMBER = "stale_number"
    NUMBER_REQUIRED = "number_required"
    INVALID_CONFIGURATION = "invalid_configuration"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    IN_PROGRESS = "in_progress"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_BACKEND = "no_backend"
    QUARANTINED = "quarantined"
    STORE_UNAVAILABLE = "store_unavailable"
    BACKEND_FAILED = "backend_failed"
    ANSWER_CUT = "answer_cut"
    OUTCOME_UNKNOWN = "outcome_unknown"
    EXPIRED = "expired"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """How an error kind is reported to a caller.

    Attributes:
        status: HTTP status code.
        ran: whether the request may have taken effect.
        title: one human-readable sentence.
    """

    status: int
    ran: ExecutionStatus
    title: str


def _make_response(status: int, ran: ExecutionStatus, title: str) -> ErrorResponse:
    return ErrorResponse(status=status, ran=ran, title=title)


_NOT_RUN: Final = ExecutionStatus.NOT_RUN

ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: _make_response(400, _NOT_RUN, "The request is malformed."),
    ErrorKind.BODY_TOO_LARGE: _make_response(
        413, _NOT_RUN, "The request body is too large."
    ),
    ErrorKind.UNAUTHENTICATED: _make_response(
        401, _NOT_RUN, "No known bearer token was sent."
    ),
    ErrorKind.FORBIDDEN: _make_response(403, _NOT_RUN, "This token may not do this."),
    ErrorKind.NOT_FOUND: _make_response(404, _NOT_RUN, "There is no such resource."),
    ErrorKind.METHOD_NOT_ALLOWED: _make_response(
        405, _NOT_RUN, "Method not allowed here."
    ),
    ErrorKind.STALE_NUMBER: _make_response(
        412, _NOT_RUN, "The patch was made against a stale configuration number."
    ),
    ErrorKind.NUMBER_REQUIRED: _make_response(
        428, _NOT_RUN, "A patch names the number it was made against in If-Match."
    ),
    ErrorKind.INVALID_CONFIGURATION: _make_response(
        422, _NOT_RUN, "The patched configuration would not be valid."
    ),
    ErrorKind.KEY_REUSED: _make_response(
        422, _NOT_RUN, "This Idempotency-Key was used for a different request."
    ),
    ErrorKind.KEY_EXPIRED: _make_response(
        409,
        ExecutionStatus.UNKNOWN,
        "This Idempotency-Key is older than the ledger's retention.",
    ),
    ErrorKind.IN_PROGRESS: _make_response(
        409, ExecutionStatus.UNKNOWN, "A request with this key is still in progress."
    ),
    ErrorKind.LEAVING: _make_response(
        503, _NOT_RUN, "This daemon is leaving; use another one."
    ),
    ErrorKind.OVERLOADED: _make_response(
        503, _NOT_RUN, "No capacity within the queue's bounds."
    ),
    ErrorKind.RATE_LIMITED: _make_response(
        429, _NOT_RUN, "The customer's limit is reached."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: _make_response(
        503, _NOT_RUN, "The request cannot start before its deadline."
    ),
    ErrorKind.NO_BACKEND: _make_response(
        503, _NOT_RUN, "No backend server can take this."
    ),
    ErrorKind.QUARANTINED: _make_response(
        503,
        _NOT_RUN,
        "This request or a part of its prompt has crashed backend servers.",
    ),
    ErrorKind.STORE_UNAVAILABLE: _make_response(
        503, _NOT_RUN, "The platform's object API is not available."
    ),
    ErrorKind.BACKEND_FAILED: _make_response(
        502,
        ExecutionStatus.UNKNOWN,
        "The backend server failed after the request was sent.",
    ),
    ErrorKind.ANSWER_CUT: _make_response(
        502,
        ExecutionStatus.UNKNOWN,
        "The answer was cut and could not be completed elsewhere.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: _make_response(
        504,
        ExecutionStatus.UNKNOWN,
        "It is not known whether the request ran; not sent again.",
    ),
    ErrorKind.EXPIRED: _make_response(
        410, ExecutionStatus.RAN, "The answer is no longer kept."
    ),
    ErrorKind.INTERNAL: _make_response(
        500, ExecutionStatus.UNKNOWN, "An error in this program."
    ),
}


class BerylpostError(Exception):
    """An error that is reported to a caller as a problem document.

    Attributes:
        kind: key into `ERROR_RESPONSES`.
        detail: human-readable description of this occurrence.
        retry_after_s: delay after which a retry makes sense, in seconds; None if
            unknown.
        ran: overrides the value of `ERROR_RESPONSES` if more is known about this
            occurrence.
        fields: additional members of the problem document.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_s: float | None = None,
        ran: ExecutionStatus | None = None,
        fields: dict[str, object] | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.ran = ran if ran is not None else ERROR_RESPONSES[kind].ran
        self.fields = fields or {}


class SettingsError(Exception):
    """Invalid settings or input file; the message says where and what is accepted."""


class PlatformError(Exception):
    """The platform did not answer, or answered with a failure."""


class LostAnswerError(PlatformError):
    """The platform's answer was lost after the request may have taken effect."""


class DutyCallError(PlatformError):
    """A duty call to the cloud API failed; the object store may still be available."""


Headers: TypeAlias = list[tuple[str, str]]


def render_problem(
    error: BerylpostError, *, whole_seconds: bool = True
) -> tuple[int, Headers, bytes]:
    """Renders an error as an RFC 9457 problem document.

    Args:
        error: the error to report.
        whole_seconds: False for callers that accept fractions in Retry-After.

    Returns:
        Status code, header fields and body.
    """
    response = ERROR_RESPONSES[error.kind]
    document = {
        "type": f"about:blank#{error.kind}",
        "title": response.title,
        "status": response.status,
        "detail": error.detail,
        "kind": error.kind,
        "ran": error.ran,
        **error.fields,
    }
    headers = [("Content-Type", PROBLEM_TYPE)]
    if error.retry_after_s is not None:
        # RFC 9110 requires whole seconds; rounding up avoids early retries.
        seconds = str(max(1, -int(-error.retry_after_s // 1)))
        if not whole_seconds:
            seconds = f"{error.retry_after_s:.2f}"
        headers.append(("Retry-After", seconds))
    if response.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return response.status, headers, msgspec.json.encode(document)
