"""The object API: read, conditional write, list, watch.

Safety of everything above rests on one property: a conditional write takes effect
only if the object is at the version it names.
"""

import base64
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final, Protocol

import msgspec
import urllib3

from ..errors import LostAnswerError, PlatformError
from ..metrics import STORE_CALLS
from .web import call, make_pool

WATCH_IDLE_S: Final = 15.0  # the API sends an empty line every few seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """A value and the version it has; version 0 means that there is none."""

    version: int
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A conditional write was refused; it had no effect."""

    version: int


class Objects(Protocol):
    """What berylpost needs of an object API."""

    def read(self, key: str) -> StoredObject:
        """Reads one object; version 0 when there is none."""

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes if the object is at `version`, 0 for none; returns the new one."""

    def delete(self, key: str, *, version: int) -> None:
        """Deletes if the object is at `version`."""

    def list_keys(self, prefix: str) -> list[str]:
        """Lists keys in order."""

    def watch(self, prefix: str, since: int) -> Iterator[tuple[str, StoredObject]]:
        """Yields changes newer than `since`; ends by `PlatformError`."""


class HttpObjects:
    """The object API over HTTP.

    Args:
        url: base address, http://IP-NUMBER:PORT.
        timeout_s: for one call, in seconds.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._pool = make_pool(timeout_s=timeout_s)

    def _call(self, kind: str, method: str, path: str, **more: Any) -> Any:
        try:
            response = call(self._pool, method, self._url + path, **more)
        except LostAnswerError:
            STORE_CALLS.labels(kind, "lost").inc()
            raise
        except PlatformError:
            STORE_CALLS.labels(kind, "failed").inc()
            raise
        STORE_CALLS.labels(kind, "answered").inc()
        return response

    def read(self, key: str) -> StoredObject:
        """Reads one object; see `Objects.read`."""
        response = self._call("read", "GET", f"/v1/objects/{key}")
        if response.status == 404:
            return StoredObject(version=0, value=b"")
        return StoredObject(version=_parse_version(response), value=response.data)

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes conditionally; see `Objects.write`."""
        headers = _render_condition(version)
        response = self._call(
            "write", "PUT", f"/v1/objects/{key}", body=value, headers=headers
        )
        if response.status == 412:
            return Conflict(version=int(response.json().get("version", 0)))
        if response.status != 200:
            raise PlatformError(f"PUT {key}: status {response.status}")
        return _parse_version(response)

    def delete(self, key: str, *, version: int) -> None:
        """Deletes conditionally; see `Objects.delete`."""
        headers = _render_condition(version)
        self._call("delete", "DELETE", f"/v1/objects/{key}", headers=headers)

    def list_keys(self, prefix: str) -> list[str]:
        """Lists keys in order; see `Objects.list_keys`."""
        response = self._call("list", "GET", f"/v1/objects?prefix={prefix}")
        return [found["key"] for found in response.json()["objects"]]

    def watch(self, prefix: str, since: int) -> Iterator[tuple[str, StoredObject]]:
        """Yields changes; see `Objects.watch`."""
        response = self._call(
            "watch",
            "GET",
            f"/v1/watch?prefix={prefix}&since={since}",
        )
        yield from parse_watch(response)

    def open_watch(self, prefix: str, since: int) -> urllib3.BaseHTTPResponse:
        """Opens a watch without reading it, so that another thread can close it."""
        STORE_CALLS.labels("watch", "answered").inc()
        try:
            return self._pool.request(
                "GET",
                f"{self._url}/v1/watch?prefix={prefix}&since={since}",
                preload_content=False,
                timeout=urllib3.Timeout(connect=1.0, read=WATCH_IDLE_S),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformError(f"watch {prefix}: {error}") from error


def parse_watch(
    response: urllib3.BaseHTTPResponse,
) -> Iterator[tuple[str, StoredObject]]:
    """Yields the changes of an open watch.

    Raises:
        PlatformError: the watch broke off.
    """
    buffer = b""
    try:
        for data in response.stream(65_536):
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                change = msgspec.json.decode(line)
                if change:
                    value = base64.b64decode(change["value"])
                    version = int(change["version"])
                    yield change["key"], StoredObject(version=version, value=value)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise PlatformError(f"watch: {error}") from error


def _render_condition(version: int) -> dict[str, str]:
    return {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}


def _parse_version(response: urllib3.BaseHTTPResponse) -> int:
    return int(response.headers["ETag"].strip('"'))
