"""Client of the cloud API: VMs and their reclaim notices, starts and terminations.

The list of VMs lags behind their actual state. It serves only to initialize views and
to remove entries of VMs that no longer run.
"""

from typing import Any

import msgspec

from ..errors import PlatformError
from .web import call, make_pool


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as the cloud API lists it.

    Attributes:
        notice_at: Unix time in seconds at which the VM is reclaimed; 0 without notice.
    """

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
    """The cloud has no capacity for a VM of this class in this zone now."""


class HttpCloud:
    """The cloud API over HTTP.

    Args:
        url: base address, http://IP-NUMBER:PORT.
        timeout_s: timeout of one call, in seconds.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._pool = make_pool(timeout_s=timeout_s, n_connections=2)

    def list_vms(self) -> tuple[Vm, ...]:
        """Lists the VMs that the cloud API reports."""
        response = call(self._pool, "GET", f"{self._url}/v1/vms")
        return msgspec.json.decode(response.data, type=_VmList).vms

    def read_vm(self, vm_id: str) -> Vm | None:
        """Reads one VM; returns None if the cloud API has no such VM."""
        response = call(self._pool, "GET", f"{self._url}/v1/vms/{vm_id}")
        if response.status == 404:
            return None
        return msgspec.json.decode(response.data, type=Vm)

    def list_offers(self) -> list[dict[str, Any]]:
        """Lists the VMs on offer: zone, vm_class, reclaimable, price per hour."""
        response = call(self._pool, "GET", f"{self._url}/v1/offers")
        return list(response.json()["offers"])

    def start_vm(self, *, client_token: str, wanted: dict[str, Any]) -> Vm:
        """Starts a VM; a repeated call with the same token does not start another one.

        Args:
            client_token: identifies the start across repeated calls.
            wanted: fields of the VM to start.

        Raises:
            NoCapacityError: the cloud has no capacity for the VM.
            LostAnswerError: the VM may have started; repeat the call with the token.
        """
        body = msgspec.json.encode({**wanted, "client_token": client_token})
        response = call(self._pool, "POST", f"{self._url}/v1/vms", body=body)
        if response.status == 409:
            raise NoCapacityError(f"no capacity for VM class {wanted.get('vm_class')}")
        return msgspec.json.decode(response.data, type=Vm)

    def terminate_vm(self, vm_id: str) -> None:
        """Terminates a VM; does nothing if it no longer exists."""
        call(self._pool, "DELETE", f"{self._url}/v1/vms/{vm_id}")
