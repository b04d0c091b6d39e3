"""One HTTP call to the platform through urllib3, with its failures named.

Distinguishes what certainly had no effect from what may have had one: only a
connection that was never made is a plain `PlatformError`.
"""

from typing import Any, Final

import urllib3

from ..errors import LostAnswerError, PlatformError

_FAILED_STATUSES: Final = frozenset({429, 500, 502, 503, 504})


def make_pool(*, timeout_s: float, n_connections: int = 8) -> urllib3.PoolManager:
    """Makes a pool that neither retries nor follows redirects by itself."""
    return urllib3.PoolManager(
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
    """Makes one call; `timeout_s` replaces the pool's own for the answer.

    Raises:
        PlatformError: refused or not connected; no effect.
        LostAnswerError: sent, but the answer did not come; the effect is unknown.
    """
    more: dict[str, Any] = {} if timeout_s is None else {"timeout": timeout_s}
    try:
        response = pool.request(method, url, body=body, headers=headers, **more)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise PlatformError(f"{method} {url}: not connected: {error}") from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise LostAnswerError(f"{method} {url}: no answer: {error}") from error
    if response.status in _FAILED_STATUSES:
        raise PlatformError(f"{method} {url}: status {response.status}")
    return response
