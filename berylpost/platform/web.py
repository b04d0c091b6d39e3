"""HTTP calls to the platform through urllib3.

The type of an error tells whether the call may have taken effect: a call that was
refused or never connected raises a plain `PlatformError`, any other failed call a
`LostAnswerError`.
"""

from typing import Any, Final

import urllib3

from .. import http_pools
from ..errors import LostAnswerError, PlatformError

_FAILED_STATUSES: Final = frozenset({429, 500, 502, 503, 504})


def make_pool(*, timeout_s: float, n_connections: int = 8) -> urllib3.PoolManager:
    """Makes a connection pool that does not retry or follow redirects."""
    return http_pools.make_pool(
        maxsize=n_connections,
        retries=False,
        timeout=urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s),
    )


def call(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float | None = None,
) -> urllib3.BaseHTTPResponse:
    """Makes one call.

    Args:
        pool: connection pool to use.
        method: HTTP method.
        url: full URL.
        body: body of the request.
        headers: headers of the request.
        timeout_s: replaces the timeout of the pool.

    Raises:
        PlatformError: the call was refused or did not connect, and had no effect.
        LostAnswerError: the call was sent, but no response arrived; its effect is
            unknown.
    """
    options: dict[str, Any] = {} if timeout_s is None else {"timeout": timeout_s}
    try:
        response = pool.request(method, url, body=body, headers=headers, **options)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise PlatformError(f"{method} {url}: not connected: {error}") from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise LostAnswerError(f"{method} {url}: no response: {error}") from error
    if response.status in _FAILED_STATUSES:
        raise PlatformError(f"{method} {url}: status {response.status}")
    return response
