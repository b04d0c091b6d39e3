"""The closed registry of error kinds and the answer each one gets.

Every refusal or failure that leaves the program is an `ErrorKind`;
`ERROR_RESPONSES` maps it to an HTTP status and to whether the request ran. Nothing
else decides a status code. docs/errors.md lists the kinds; a test holds the page
against this table.
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
    """Closed list of error kinds, each with a row in `ERROR_RESPONSES`."""

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
    STORE_UNAVAILABLE = "store_unavailable"
    BACKEND_FAILED = "backend_failed"
    ANSWER_CUT = "answer_cut"
    OUTCOME_UNKNOWN = "outcome_unknown"
    EXPIRED = "expired"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """How an error kind is told to a caller.

    Attributes:
        status: HTTP status code.
        ran: whether the request may have taken effect.
        title: one sentence for people.
    """

    status: int
    ran: ExecutionStatus
    title: str


def _make_response(status: int, ran: ExecutionStatus, title: str) -> ErrorResponse:
    return ErrorResponse(status=status, ran=ran, title=title)


_NOT: Final = ExecutionStatus.NOT_RUN

ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: _make_response(400, _NOT, "The request is malformed."),
    ErrorKind.BODY_TOO_LARGE: _make_response(
        413, _NOT, "The request body is too large."
    ),
    ErrorKind.UNAUTHENTICATED: _make_response(
        401, _NOT, "No known bearer token was sent."
    ),
    ErrorKind.FORBIDDEN: _make_response(403, _NOT, "This token may not do this."),
    ErrorKind.NOT_FOUND: _make_response(404, _NOT, "There is no such resource."),
    ErrorKind.METHOD_NOT_ALLOWED: _make_response(405, _NOT, "Method not allowed here."),
    ErrorKind.STALE_NUMBER: _make_response(
        412, _NOT, "The patch was made against a stale configuration number."
    ),
    ErrorKind.NUMBER_REQUIRED: _make_response(
        428, _NOT, "A patch names the number it was made against in If-Match."
    ),
    ErrorKind.INVALID_CONFIGURATION: _make_response(
        422, _NOT, "The patched configuration would not be valid."
    ),
    ErrorKind.KEY_REUSED: _make_response(
        422, _NOT, "This Idempotency-Key was used for a different request."
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
        503, _NOT, "This daemon is leaving; use another one."
    ),
    ErrorKind.OVERLOADED: _make_response(
        503, _NOT, "No capacity within the queue's bounds."
    ),
    ErrorKind.RATE_LIMITED: _make_response(
        429, _NOT, "The customer's limit is reached."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: _make_response(
        503, _NOT, "The request cannot start before its deadline."
    ),
    ErrorKind.NO_BACKEND: _make_response(503, _NOT, "No backend server can take this."),
    ErrorKind.STORE_UNAVAILABLE: _make_response(
        503, _NOT, "The platform's object API is not available."
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
    """An error of a listed kind.

    Attributes:
        kind: the row of `ERROR_RESPONSES` that answers it.
        detail: what went wrong in this case, for people.
        retry_after_s: when it makes sense to ask again, in seconds.
        ran: overrides the table's value where more is known in this case.
        fields: further members of the problem document.
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
    """Settings that cannot be used; the message names file, path and accepted form."""


class PlatformError(Exception):
    """The platform did not answer, or answered with a failure."""


class LostAnswerError(PlatformError):
    """The platform's answer was lost after the request may have taken effect."""


class DutyCallError(PlatformError):
    """A call of a duty to the cloud API failed; the store may be well."""


Headers: TypeAlias = list[tuple[str, str]]


def render_problem(
    error: BerylpostError, *, whole_seconds: bool = True
) -> tuple[int, Headers, bytes]:
    """Renders an error as an RFC 9457 problem document.

    Args:
        error: the error to tell.
        whole_seconds: False for callers that take fractions in Retry-After.

    Returns:
        Status code, header fields and body.
    """
    answer = ERROR_RESPONSES[error.kind]
    document = {
        "type": f"about:blank#{error.kind}",
        "title": answer.title,
        "status": answer.status,
        "detail": error.detail,
        "kind": error.kind,
        "ran": error.ran,
        **error.fields,
    }
    headers = [("Content-Type", PROBLEM_TYPE)]
    if error.retry_after_s is not None:
        # Whole seconds by RFC 9110; rounding up keeps callers from coming too soon.
        seconds = str(max(1, -int(-error.retry_after_s // 1)))
        if not whole_seconds:
            seconds = f"{error.retry_after_s:.2f}"
        headers.append(("Retry-After", seconds))
    if answer.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return answer.status, headers, msgspec.json.encode(document)
