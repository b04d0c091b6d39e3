"""Client of the cloud API: VMs and their reclaim notices, starts and terminations.

The list of VMs lags behind their actual state. It serves only to initialize views and
to remove entries of VMs that no longer run.
"""

import logging
from typing import Any, Final, TypeVar

import msgspec

from ..endpoints import split_endpoint
from ..errors import LostAnswerError, PlatformError
from ..logs import log_event
from .tolerant_json import decode_document
from .web import call, make_pool

LOGGER: Final = logging.getLogger(__name__)

T = TypeVar("T")


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


LIST_DEPTH: Final = 2  # document, list of VMs


class _VmList(msgspec.Struct, frozen=True):
    vms: tuple[msgspec.Raw, ...]


class _Offers(msgspec.Struct, frozen=True):
    offers: list[dict[str, Any]]


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
        self._known_errors: set[str] = set()

    def list_vms(self) -> tuple[Vm, ...]:
        """Lists the VMs that the cloud API reports."""
        response = call(self._pool, "GET", f"{self._url}/v1/vms")
        return self.decode_vms(response.data)

    def decode_vms(self, body: bytes) -> tuple[Vm, ...]:
        """Decodes a list of VMs; leaves out and logs entries that cannot be used.

        Raises:
            PlatformError: the body is no list of VMs.
        """
        try:
            entries = decode_document(body, _VmList, depth=LIST_DEPTH).vms
        except msgspec.MsgspecError as error:
            raise PlatformError(f"list of VMs cannot be decoded: {error}") from error
        vms, errors = [], set()
        for entry in entries:
            try:
                vms.append(_decode_vm(entry))
            except ValueError as error:
                errors.add(str(error))
        for text in sorted(errors - self._known_errors):
            log_event(LOGGER, "bad_vm", logging.WARNING, error=text)
        self._known_errors = errors
        return tuple(vms)

    def read_vm(self, vm_id: str) -> Vm | None:
        """Reads one VM; returns None if the cloud API has no such VM."""
        response = call(self._pool, "GET", f"{self._url}/v1/vms/{vm_id}")
        if response.status == 404:
            return None
        return _decode_answer(response.data, Vm)

    def list_offers(self) -> list[dict[str, Any]]:
        """Lists the VMs on offer: zone, vm_class, reclaimable, price per hour."""
        response = call(self._pool, "GET", f"{self._url}/v1/offers")
        return _decode_answer(response.data, _Offers).offers

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
        return _decode_answer(response.data, Vm)

    def terminate_vm(self, vm_id: str) -> None:
        """Terminates a VM; does nothing if it no longer exists."""
        call(self._pool, "DELETE", f"{self._url}/v1/vms/{vm_id}")


def _decode_answer(body: bytes, document_type: type[T]) -> T:
    """Decodes an answer that is no list of VMs.

    Raises:
        LostAnswerError: it cannot be decoded; the call may have had its effect.
    """
    try:
        return msgspec.json.decode(body, type=document_type)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"answer cannot be decoded: {error}") from error


def _decode_vm(entry: msgspec.Raw) -> Vm:
    """Decodes a VM of the list.

    Raises:
        ValueError: a field is wrong.
    """
    try:
        vm = msgspec.json.decode(entry, type=Vm)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    if vm.address:
        split_endpoint(vm.address)
    return vm
