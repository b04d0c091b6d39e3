"""The cloud API: which VMs run, which got notice, start and end.

The list lags behind reality; it seeds views and ends dead entries, no more.
"""

from typing import Any

import msgspec

from ..errors import PlatformError
from .web import call, make_pool


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as the cloud API lists it; `notice_at` is wall clock, 0 without one."""

    id: str
    zone: str
    vm_class: str = ""
    reclaimable: bool = True
    role: str = ""
    name: str = ""
    deployment: str = ""
    address: str = ""
    client_token: str = ""
    notice_at: float = 0.0
    state: str = "running"


class _VmList(msgspec.Struct, frozen=True):
    vms: tuple[Vm, ...]


class NoCapacityError(PlatformError):
    """The cloud has no VM of this class in this zone now."""


class HttpCloud:
    """The cloud API over HTTP; `timeout_s` bounds one call."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._pool = make_pool(timeout_s=timeout_s, n_connections=2)

    def list_vms(self) -> tuple[Vm, ...]:
        """Lists the VMs as the cloud sees them now."""
        response = call(self._pool, "GET", f"{self._url}/v1/vms")
        return msgspec.json.decode(response.data, type=_VmList).vms

    def read_vm(self, vm_id: str) -> Vm | None:
        """Reads one VM; None when the cloud has no such VM."""
        response = call(self._pool, "GET", f"{self._url}/v1/vms/{vm_id}")
        if response.status == 404:
            return None
        return msgspec.json.decode(response.data, type=Vm)

    def list_offers(self) -> list[dict[str, Any]]:
        """Lists what may be asked for: zone, vm_class, reclaimable, price an hour."""
        response = call(self._pool, "GET", f"{self._url}/v1/offers")
        return list(response.json()["offers"])

    def start_vm(self, *, client_token: str, wanted: dict[str, Any]) -> Vm:
        """Starts a VM; repeating it with the same token starts no second one.

        Raises:
            NoCapacityError: no capacity.
            LostAnswerError: unknown whether it started; ask again with the token.
        """
        body = msgspec.json.encode({**wanted, "client_token": client_token})
        response = call(self._pool, "POST", f"{self._url}/v1/vms", body=body)
        if response.status == 409:
            raise NoCapacityError(f"no {wanted.get('vm_class')} to be had")
        return msgspec.json.decode(response.data, type=Vm)

    def terminate_vm(self, vm_id: str) -> None:
        """Ends a VM; one that is gone already is no error."""
        call(self._pool, "DELETE", f"{self._url}/v1/vms/{vm_id}")
