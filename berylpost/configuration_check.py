"""Checks a configuration document and compares it with the one in force.

The document has the platform's form or that of our own interface; no daemon is asked.
"""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import yaml
from cleo.commands.command import Command

from .configuration import Deployment, parse_deployment
from .errors import BerylpostError, ErrorKind
from .platform import configuration_check as platform_check

SECRET_FIELDS: Final = platform_check.SECRET_FIELDS | {"tokens"}
NAME_FIELDS: Final = ("Name", "name")  # identify the entries of a list

Document = dict[str, Any]


def list_faults(document: Any, in_force: Any = None) -> list[str]:
    """Lists the faults of a document, each with the path of its entry.

    Args:
        document: the configuration to check.
        in_force: the one that it is to replace; None if there is none.
    """
    if not platform_check.is_platform_document(document):
        try:
            return list(_check_deployment(parse_deployment(document)))
        except BerylpostError as error:
            faults_found = error.fields["faults"]
            assert isinstance(faults_found, list)
            return [str(fault) for fault in faults_found]
    faults = platform_check.list_faults(document)
    if in_force is not None and not faults:
        field = platform_check.NUMBER_FIELD
        number = in_force.get(field)
        if isinstance(number, int) and document[field] <= number:
            faults.append(f"$.{field}: not above the one in force, {number}")
    return faults


def _check_deployment(deployment: Deployment) -> Iterator[str]:
    for index, customer in enumerate(deployment.customers):
        if not customer.tokens:
            yield f"$.customers[{index}].tokens: {customer.name!r} has no token"
    for index, model in enumerate(deployment.models):
        if not model.replicas:
            yield f"$.models[{index}].replicas: {model.name!r} never runs"
    for index, service in enumerate(deployment.services):
        rules = Counter((rule.method, rule.path) for rule in service.calls)
        for (method, path), n_rules in rules.items():
            if n_rules > 1:
                yield f"$.services[{index}].calls: {n_rules} rules for {method} {path}"


def list_differences(old: Any, new: Any, path: str = "$") -> Iterator[str]:
    """Lists what differs; entries with names are compared by name, secrets hidden."""
    if old == new:
        return
    if path.rpartition(".")[2] in SECRET_FIELDS:
        yield f"{path}: differs, {_count(old)} before, {_count(new)} now"
        return
    old_parts, new_parts = _split(old), _split(new)
    if old_parts is None or new_parts is None:
        yield f"{path}: {_show(old)} -> {_show(new)}"
        return
    for part in [*old_parts, *(p for p in new_parts if p not in old_parts)]:
        if part not in new_parts:
            yield f"{path}{part}: removed"
        elif part not in old_parts:
            yield f"{path}{part}: added"
        else:
            yield from list_differences(
                old_parts[part], new_parts[part], f"{path}{part}"
            )


def _split(value: Any) -> Document | None:
    """Splits an object, or a list of named entries, by the end of each part's path."""
    if isinstance(value, dict):
        return {f".{key}": part for key, part in value.items()}
    if not isinstance(value, list) or not all(isinstance(e, dict) for e in value):
        return None
    names = [next((e[f] for f in NAME_FIELDS if f in e), None) for e in value]
    if None in names or len(set(map(str, names))) < len(names):
        return None
    return {f"[{name}]": entry for name, entry in zip(names, value, strict=True)}


def _show(value: Any) -> str:
    return f"{len(value)} entries" if isinstance(value, list | dict) else repr(value)


def _count(value: Any) -> int:
    return len(value) if isinstance(value, list) else int(value is not None)


def check_configuration(command: Command) -> int:
    """Prints faults and differences; returns 1 if there is a fault."""
    document = _read_document(str(command.argument("file")))
    in_force_file = command.option("in-force")
    in_force = _read_document(str(in_force_file)) if in_force_file else None
    faults = list_faults(document, in_force)
    for fault in faults:
        command.line_error(f"fault {fault}")
    if in_force is not None:
        for difference in list_differences(in_force, document):
            command.line(f"differs {difference}")
    if not faults:
        command.line(f"{command.argument('file')}: no fault")
    return 1 if faults else 0


def _read_document(path: str) -> Document:
    """Reads a configuration.

    Raises:
        BerylpostError: the file is no YAML or JSON object.
    """
    try:
        document = yaml.safe_load(Path(path).read_text())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"{path}: not an object")
    return document
