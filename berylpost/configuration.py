"""The numbered document of a deployment: its types, checks and patches.

Operators change it only by patches (RFC 7396 merge patch or RFC 6902 JSON patch)
made against a number. This module holds data and pure functions; the task that
watches, spreads and writes it is `configurations`.
"""

import hashlib
from typing import Annotated, Any, Final, Literal

import json_merge_patch
import jsonpatch
import msgspec
from msgspec import Meta, Struct

from .errors import BerylpostError, ErrorKind
from .settings import Name

MERGE_PATCH: Final = "application/merge-patch+json"
JSON_PATCH: Final = "application/json-patch+json"
MAX_DOCUMENT_BYTES: Final = 900_000  # the object API holds values to 1 MB

Digest = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Share = Annotated[float, Meta(gt=0, le=1_000_000)]


class Model(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model to serve, its version, adapters and wanted number of replicas."""

    name: Name
    version: str
    adapters: tuple[str, ...] = ()
    replicas: Annotated[int, Meta(ge=0, le=100_000)] = 1
    fenced: bool = True


class CallRule(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Whether calls of one method below one path may be repeated."""

    method: Literal["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"]
    path: Annotated[str, Meta(pattern="^/")] = "/"
    idempotent: bool


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service; calls without a rule are as idempotent as their method."""

    name: Name
    calls: tuple[CallRule, ...] = ()


class VmClass(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A class of VMs this deployment may use."""

    name: Name
    reclaimable: bool = True


class Customer(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A customer, the hashes of its tokens and its limits.

    Attributes:
        weight: share of the capacity under contention.
        rate: requests a second, sustained.
        concurrency: requests in progress over one daemon.
        priority: 0 is served first.
    """

    name: Name
    tokens: tuple[Digest, ...]
    weight: Share = 1.0
    rate: Share = 1_000.0
    concurrency: Annotated[int, Meta(ge=1, le=100_000)] = 1_000
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class Operator(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator and the hashes of its tokens."""

    name: Name
    tokens: tuple[Digest, ...]


class Target(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Latency target, to be held for 95 in 100 requests."""

    first_token_ms: Annotated[float, Meta(gt=0)] = 1_300.0
    gap_ms: Annotated[float, Meta(gt=0)] = 42.0


class Deployment(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What operators declare."""

    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    zones: tuple[Name, ...] = ()
    vm_classes: tuple[VmClass, ...] = ()
    customers: tuple[Customer, ...] = ()
    operators: tuple[Operator, ...] = ()
    target: Target = Target()


class AuditEntry(Struct, frozen=True, kw_only=True):
    """One accepted patch.

    Attributes:
        time: wall clock, seconds since the epoch.
        base: the number the patch was made against.
        number: the number it produced.
    """

    patch_id: str
    author: str
    time: float
    base: int
    number: int
    media_type: str
    patch: Any


class VersionedConfiguration(Struct, frozen=True, kw_only=True):
    """A deployment at one number, with the entry that produced it.

    The last entries travel with the document, so that a patch whose answer was
    lost is recognised by its id and answered as before.
    """

    name: str
    number: int
    document: dict[str, Any]
    recent: tuple[AuditEntry, ...] = ()


_IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


def hash_token(token: str) -> str:
    """Hashes a bearer token to the form kept in the configuration."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse_deployment(document: object) -> Deployment:
    """Checks a document against the schema and its cross references.

    Raises:
        BerylpostError: `INVALID_CONFIGURATION` with the path of each fault.
    """
    try:
        deployment = msgspec.convert(document, Deployment)
    except msgspec.ValidationError as error:
        raise _invalid([str(error)]) from error
    faults = [
        f"Duplicate name `{name}` - at `$.{part}`"
        for part in ("models", "services", "vm_classes", "customers", "operators")
        for name in _find_duplicates([x.name for x in getattr(deployment, part)])
    ]
    tokens = [t for c in deployment.customers for t in c.tokens]
    tokens += [t for o in deployment.operators for t in o.tokens]
    if _find_duplicates(tokens):
        faults.append("A token hash stands twice - at `$.customers` or `$.operators`")
    if not deployment.operators:
        # Without an operator nobody could patch the document again.
        faults.append("At least one operator is needed - at `$.operators`")
    if faults:
        raise _invalid(faults)
    return deployment


def _invalid(faults: list[str]) -> BerylpostError:
    return BerylpostError(
        ErrorKind.INVALID_CONFIGURATION, "; ".join(faults), fields={"faults": faults}
    )


def _find_duplicates(names: list[str]) -> list[str]:
    return sorted({name for name in names if names.count(name) > 1})


def apply_patch(
    document: dict[str, Any], media_type: str, patch: Any
) -> dict[str, Any]:
    """Applies a patch to a copy of the document.

    Raises:
        BerylpostError: `BAD_REQUEST` for an unknown media type or a patch that
            does not fit the document.
    """
    copy = msgspec.json.decode(msgspec.json.encode(document))
    apply = _PATCHERS.get(media_type)
    if apply is None:
        accepted = ", ".join(_PATCHERS)
        raise BerylpostError(
            ErrorKind.BAD_REQUEST, f"Content-Type {media_type!r}; accepted: {accepted}"
        )
    try:
        result = apply(copy, patch)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException) as error:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"patch: {error}") from error
    except (TypeError, AttributeError, KeyError, ValueError) as error:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"patch: {error!r}") from error
    if not isinstance(result, dict):
        raise BerylpostError(ErrorKind.BAD_REQUEST, "the result is not an object")
    if len(msgspec.json.encode(result)) > MAX_DOCUMENT_BYTES:
        raise BerylpostError(
            ErrorKind.BODY_TOO_LARGE, f"over {MAX_DOCUMENT_BYTES} bytes once patched"
        )
    return result


_PATCHERS: Final = {
    MERGE_PATCH: json_merge_patch.merge,
    "application/json": json_merge_patch.merge,
    JSON_PATCH: lambda document, patch: jsonpatch.apply_patch(document, patch),
}


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Tells whether a call may be repeated: the longest matching rule decides."""
    matching = [
        rule
        for rule in service.calls
        if rule.method == method and _is_below(path, rule.path)
    ]
    if not matching:
        return method in _IDEMPOTENT_METHODS
    return max(matching, key=lambda rule: len(rule.path)).idempotent


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


class Identity(Struct, frozen=True, kw_only=True):
    """Who a bearer token belongs to; exactly one of the two roles is set."""

    deployment: str
    customer: Customer | None = None
    operator: Operator | None = None

    @property
    def owner(self) -> str:
        """Names the customer within its deployment; empty for an operator."""
        return f"{self.deployment}/{self.customer.name}" if self.customer else ""


def index_tokens(name: str, deployment: Deployment) -> dict[str, Identity]:
    """Maps token hashes to identities."""
    index: dict[str, Identity] = {}
    for customer in deployment.customers:
        identity = Identity(deployment=name, customer=customer)
        index.update(dict.fromkeys(customer.tokens, identity))
    for operator in deployment.operators:
        identity = Identity(deployment=name, operator=operator)
        index.update(dict.fromkeys(operator.tokens, identity))
    return index
