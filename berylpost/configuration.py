"""The configuration of a deployment: its schema, validation and patches.

Each accepted change gets the next configuration number. Operators change the document
only by patches (RFC 7396 merge patch or RFC 6902 JSON patch) that name the number they
were made against. This module holds data types and pure functions; the task that
watches, distributes and writes configurations is `configurations`.
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
MAX_DOCUMENT_BYTES: Final = 900_000  # the object API limits values to 1 MB

Digest = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
PositiveNumber = Annotated[float, Meta(gt=0, le=1_000_000)]


class Model(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model to serve, its version, adapters and desired number of replicas."""

    name: Name
    version: str
    adapters: tuple[str, ...] = ()
    replicas: Annotated[int, Meta(ge=0, le=100_000)] = 1
    fenced: bool = True


class CallRule(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Whether calls of one method at or below one path may be repeated."""

    method: Literal["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"]
    path: Annotated[str, Meta(pattern="^/")] = "/"
    idempotent: bool


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service; without a matching rule, the method decides on idempotency."""

    name: Name
    calls: tuple[CallRule, ...] = ()


class VmClass(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A VM class that the deployment may use."""

    name: Name
    reclaimable: bool = True


class Customer(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A customer, the hashes of its tokens and its limits.

    Attributes:
        weight: relative share of the capacity under contention.
        rate: sustained rate in requests per second.
        concurrency: maximum number of requests in progress on one daemon.
        priority: 0 to 9; 0 is served first.
    """

    name: Name
    tokens: tuple[Digest, ...]
    weight: PositiveNumber = 1.0
    rate: PositiveNumber = 1_000.0
    concurrency: Annotated[int, Meta(ge=1, le=100_000)] = 1_000
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class Operator(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator and the hashes of its tokens."""

    name: Name
    tokens: tuple[Digest, ...]


class LatencyTarget(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Latency target, to be met by 95% of requests."""

    first_token_ms: Annotated[float, Meta(gt=0)] = 1_300.0
    gap_ms: Annotated[float, Meta(gt=0)] = 42.0


class Deployment(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Everything that operators declare for one deployment."""

    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    zones: tuple[Name, ...] = ()
    vm_classes: tuple[VmClass, ...] = ()
    customers: tuple[Customer, ...] = ()
    operators: tuple[Operator, ...] = ()
    target: LatencyTarget = LatencyTarget()


class AuditEntry(Struct, frozen=True, kw_only=True):
    """One accepted patch.

    Attributes:
        time: wall-clock time, seconds since the epoch.
        base: configuration number that the patch was made against.
        number: configuration number that it produced.
    """

    patch_id: str
    author: str
    time: float
    base: int
    number: int
    media_type: str
    patch: Any


class VersionedConfiguration(Struct, frozen=True, kw_only=True):
    """A deployment's document at one configuration number.

    The most recent audit entries are kept with the document, so that a patch whose
    answer was lost is recognised by its id and answered as before.
    """

    name: str
    number: int
    document: dict[str, Any]
    recent: tuple[AuditEntry, ...] = ()


_IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


def hash_token(token: str) -> str:
    """Hashes a bearer token to the form stored in the configuration (SHA-256, hex)."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse_deployment(document: object) -> Deployment:
    """Validates a document against the schema and the rules across its sections.

    Raises:
        BerylpostError: `INVALID_CONFIGURATION` with the path of each fault.
    """
    try:
        deployment = msgspec.convert(document, Deployment)
    except msgspec.ValidationError as error:
        raise _invalid([str(error)]) from error
    faults = [
        f"Duplicate name `{name}` - at `$.{section}`"
        for section in ("models", "services", "vm_classes", "customers", "operators")
        for name in _find_duplicates([x.name for x in getattr(deployment, section)])
    ]
    tokens = [t for c in deployment.customers for t in c.tokens]
    tokens += [t for o in deployment.operators for t in o.tokens]
    if _find_duplicates(tokens):
        faults.append("A token hash stands twice - at `$.customers` or `$.operators`")
    if not deployment.operators:
        # Without an operator, no further patch could be authorised.
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
            cannot be applied to the document; `BODY_TOO_LARGE` if the result exceeds
            `MAX_DOCUMENT_BYTES`.
    """
    copy = msgspec.json.decode(msgspec.json.encode(document))
    apply = _PATCH_FUNCTIONS.get(media_type)
    if apply is None:
        accepted = ", ".join(_PATCH_FUNCTIONS)
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


_PATCH_FUNCTIONS: Final = {
    MERGE_PATCH: json_merge_patch.merge,
    "application/json": json_merge_patch.merge,
    JSON_PATCH: lambda document, patch: jsonpatch.apply_patch(document, patch),
}


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Tells whether a call may be repeated; the rule with the longest path decides."""
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
    """Holder of a bearer token; exactly one of `customer` and `operator` is set."""

    deployment: str
    customer: Customer | None = None
    operator: Operator | None = None

    @property
    def owner(self) -> str:
        """The customer's name qualified by its deployment; empty for an operator."""
        return f"{self.deployment}/{self.customer.name}" if self.customer else ""


def index_tokens(name: str, deployment: Deployment) -> dict[str, Identity]:
    """Maps the token hashes of a deployment to identities."""
    index: dict[str, Identity] = {}
    for customer in deployment.customers:
        identity = Identity(deployment=name, customer=customer)
        index.update(dict.fromkeys(customer.tokens, identity))
    for operator in deployment.operators:
        identity = Identity(deployment=name, operator=operator)
        index.update(dict.fromkeys(operator.tokens, identity))
    return index
