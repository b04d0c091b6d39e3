"""Checks a configuration in the platform's form before an operator writes it.

The decoder accepts whatever it can serve. These checks find entries that can never
match and limits that contradict each other. Each fault names the path of its entry.
"""

from collections.abc import Iterator
from typing import Any, Final

from .entries import InvalidEntryError, decode_configuration

# Fields whose values are secrets; a comparison shows only that they differ.
SECRET_FIELDS: Final = frozenset({"ApiKeys"})
NUMBER_FIELD: Final = "Version"
# Defaults of the decoder for fields that the checks compare.
TIMEOUT_MS: Final = 30_000
TARGET_LATENCY_MS: Final = 1_000

Document = dict[str, Any]


def is_platform_document(document: object) -> bool:
    """Tells whether a document has the platform's form, not that of a deployment."""
    fields = {NUMBER_FIELD, "Routes", "Services", "Tenants"}
    return isinstance(document, dict) and not fields.isdisjoint(document)


def list_faults(document: Document) -> list[str]:
    """Lists the faults of a configuration, each with the path of its entry."""
    try:
        decode_configuration(document, 0)
    except InvalidEntryError as error:
        return [str(error)]
    checks = (_check_routes, _check_services, _check_tenants)
    return [fault for check in checks for fault in check(document)]


def _check_routes(document: Document) -> Iterator[str]:
    services = {service["Name"] for service in document.get("Services", ())}
    first_paths: dict[tuple[str, str], str] = {}
    for index, route in enumerate(document.get("Routes", ())):
        path = f"$.Routes[{index}]"
        key = route["Host"].lower(), route["PathPrefix"]
        if key in first_paths:
            yield f"{path}: never matches, {first_paths[key]} has its host and prefix"
        first_paths.setdefault(key, path)
        if route.get("MaxAttempts", 1) < 1:
            yield f"{path}.MaxAttempts: below 1"
        objective_ms = route.get("TargetLatencyMs", TARGET_LATENCY_MS)
        if route.get("TimeoutMs", TIMEOUT_MS) < objective_ms:
            yield f"{path}.TimeoutMs: below TargetLatencyMs, {objective_ms:g}"
        parts = route.get("TrafficSplit", ())
        for number, part in enumerate(parts):
            if part.get("Weight", 1) <= 0:
                yield f"{path}.TrafficSplit[{number}].Weight: not above 0, never chosen"
        for name in _list_route_services(route):
            if name not in services:
                yield f"{path}: service {name!r} is not in $.Services"


def _list_route_services(route: Document) -> list[str]:
    """Lists the services of a route; a split takes the place of the single one."""
    parts = route.get("TrafficSplit", ())
    return [part["Service"] for part in parts] or [route.get("Service", "")]


def _check_services(document: Document) -> Iterator[str]:
    used = {
        name
        for route in document.get("Routes", ())
        for name in _list_route_services(route)
    }
    for index, service in enumerate(document.get("Services", ())):
        path = f"$.Services[{index}]"
        if service["Name"] not in used:
            yield f"{path}: no route uses service {service['Name']!r}"
        scaling = service.get("Scaling")
        if scaling and scaling["Min"] > scaling["Max"]:
            yield f"{path}.Scaling: Min {scaling['Min']} above Max {scaling['Max']}"


def _check_tenants(document: Document) -> Iterator[str]:
    owners: dict[str, str] = {}
    for index, tenant in enumerate(document.get("Tenants", ())):
        path = f"$.Tenants[{index}]"
        keys = tenant.get("ApiKeys", ())
        if not keys:
            yield f"{path}.ApiKeys: customer {tenant['Name']!r} has no key"
        for number, key in enumerate(keys):
            if key in owners:
                yield f"{path}.ApiKeys[{number}]: {owners[key]} has the same key"
            owners.setdefault(key, f"{path}.ApiKeys[{number}]")
        counts_tokens = tenant.get("Unit") == "tokens"
        request = tenant.get("PlainTokens", 1) if counts_tokens else 1
        # A rate of 0 means no limit, for which the burst is not used.
        if tenant.get("RatePerS", 0) and tenant.get("Burst", 0) < request:
            yield f"{path}.Burst: below one request, {request:g}"
