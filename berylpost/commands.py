"""Implementation of the commands: they send requests through `client` and print.

`application` declares the commands. Invalid input ends a command with one message and
status 1; cleo reports usage errors. Decisions and wire formats are defined elsewhere.
The daemon does not import this module.
"""

import json
import sys
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import msgspec
import yaml
import zmq
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from .client import Client, Problem
from .configuration import JSON_PATCH, MERGE_PATCH, hash_token
from .configurations import create_configuration
from .errors import BerylpostError, PlatformError, SettingsError
from .explain import explain_request
from .platform.boot import decode_boot_settings
from .platform.objects import HttpObjects
from .settings import load_settings
from .writer import ConditionalWriter

DEFAULT_ADDRESS: Final = "127.0.0.1:7001"
WAIT_POLL_S: Final = 0.5
N_STATUS_THREADS: Final = 16

Action = Callable[["_Command"], int]


class InputError(Exception):
    """Invalid input of a command; the message says what is wrong or accepted."""


class _Command(Command):
    """A command that is carried out by the function `action`."""

    action: Action

    def handle(self) -> int:
        """Runs the action; prints known errors as a message and returns 1 for them."""
        try:
            return type(self).action(self)
        except Problem as problem:
            self.line_error(f"<error>{problem}</error>")
            for key in ("number", "faults", "addresses"):
                if key in problem.document:
                    self.line_error(f"{key}: {problem.document[key]}")
        except (BerylpostError, PlatformError, SettingsError, InputError) as error:
            self.line_error(f"<error>{error}</error>")
        return 1


_ADDRESS: Final = option(
    "address", "a", "Daemon to ask, IP-NUMBER:PORT", flag=False, default=DEFAULT_ADDRESS
)
_TOKEN: Final = option(
    "token", "t", "Bearer token, or @FILE to read it from", flag=False, default=""
)
JSON: Final = option("json", None, "Print JSON")
CONNECTION: Final = [_ADDRESS, _TOKEN, JSON]


def make_command(
    name: str,
    description: str,
    action: Action,
    arguments: list[Argument] | None = None,
    options: list[Option] | None = None,
) -> Command:
    """Makes a cleo command that calls a function."""
    members = {
        "name": name,
        "description": description,
        "arguments": arguments or [],
        "options": options or [],
        "action": staticmethod(action),
    }
    command: Command = type(
        f"{name.title().replace(' ', '')}Command", (_Command,), members
    )()
    return command


def _make_client(command: _Command) -> Client:
    token = str(command.option("token"))
    if token.startswith("@"):
        token = _read_file(token[1:]).strip()
    address = str(command.option("address"))
    if ":" not in address:
        raise InputError(f"--address {address!r}; accepted: IP-NUMBER:PORT")
    return Client(addresses=[address], token=token)


def _read_file(path: str) -> str:
    try:
        return sys.stdin.read() if path == "-" else Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(f"{path}: {error}") from error


def _read_document(path: str) -> Any:
    try:
        return yaml.safe_load(_read_file(path))
    except yaml.YAMLError as error:
        raise InputError(f"{path}: neither YAML nor JSON: {error}") from error


def _print_json(command: _Command, value: object) -> None:
    command.line(json.dumps(value, indent=2, default=str))


def _print_rows(
    command: _Command, headers: list[str], rows: list[list[object]]
) -> None:
    table = command.table()
    table.set_headers(list(headers))
    table.set_rows([[str(cell) for cell in row] for row in rows])
    table.render()


def _address(command: _Command) -> str:
    return str(command.option("address"))


# Settings, keys and logs.


def explain(command: _Command) -> int:
    """Prints the log lines that explain one request."""
    lines: list[str] = []
    for name in command.argument("files"):
        try:
            lines += Path(name).read_text(errors="replace").splitlines()
        except OSError as error:
            raise InputError(f"{name}: {error}") from error
    explanation = explain_request(lines, str(command.argument("id")))
    if not explanation:
        raise InputError(f"no log line has the id {command.argument('id')}")
    for line in explanation:
        command.line(line, style=None)
    return 0


def check_settings(command: _Command) -> int:
    """Validates the settings file of a daemon (YAML) or an entry daemon (JSON)."""
    path = Path(str(command.argument("file")))
    if path.suffix == ".json":
        try:
            entry = decode_boot_settings(path.read_bytes())
        except OSError as error:
            raise InputError(f"{path}: {error}") from error
        command.line(f"{path}: valid, entry daemon {entry.name} in {entry.zone}")
        return 0
    settings = load_settings(path)
    if command.option("json"):
        _print_json(command, msgspec.to_builtins(settings))
    else:
        command.line(f"{command.argument('file')}: valid, daemon {settings.daemon.id}")
    return 0


def make_keys(command: _Command) -> int:
    """Prints a new CURVE key pair for the `peers` section."""
    public, secret = zmq.curve_keypair()
    keys = {"public_key": public.decode(), "secret_key": secret.decode()}
    if command.option("json"):
        _print_json(command, keys)
    else:
        command.line(yaml.safe_dump({"peers": keys}).rstrip())
    return 0


def make_token_hash(command: _Command) -> int:
    """Prints the hash of a token in the form stored in the configuration."""
    command.line(hash_token(str(command.argument("token"))))
    return 0


# Configuration.


def _configuration_path(command: _Command) -> str:
    return f"/v1/deployments/{command.argument('deployment')}/configuration"


def init_configuration(command: _Command) -> int:
    """Writes configuration number 1 of a deployment directly to the object API."""
    objects = HttpObjects(url=str(command.option("objects")), timeout_s=5.0)
    writer = ConditionalWriter(objects=objects, writer=f"init.{uuid.uuid4().hex}")
    document = _read_document(str(command.argument("file")))
    name = str(command.argument("deployment"))
    versioned = create_configuration(objects, writer, name, document)
    command.line(f"{name}: number {versioned.number}")
    return 0


def get_configuration(command: _Command) -> int:
    """Prints the configuration in force on a daemon."""
    client = _make_client(command)
    response = client.call(
        "GET", _configuration_path(command), address=_address(command)
    )
    if command.option("json"):
        _print_json(command, response)
    else:
        command.line(f"# number {response['number']}")
        command.line(
            yaml.safe_dump(response["configuration"], sort_keys=False).rstrip()
        )
    return 0


def patch_configuration(command: _Command) -> int:
    """Submits a patch against a configuration number."""
    patch = _read_document(str(command.argument("file")))
    number = str(command.option("number"))
    if not number.isdecimal():
        raise InputError(
            f"--number {number!r}; accepted: the number the patch was made against"
        )
    kind = JSON_PATCH if isinstance(patch, list) else MERGE_PATCH
    client = _make_client(command)
    patch_id = str(command.option("id") or uuid.uuid4().hex)
    headers = {
        "If-Match": f'"{number}"',
        "Content-Type": kind,
        "Idempotency-Key": patch_id,
    }
    response = client.call(
        "PATCH",
        _configuration_path(command),
        address=_address(command),
        document=patch,
        headers=headers,
    )
    if command.option("json"):
        _print_json(command, {**response, "patch_id": patch_id})
    else:
        command.line(f"accepted as number {response['number']} (patch {patch_id})")
    return 0


def wait_configuration(command: _Command) -> int:
    """Waits until every live daemon has a configuration number in force.

    At the time-out, prints the daemons that do not have it.
    """
    wanted = int(str(command.argument("number")))
    name = str(command.argument("deployment"))
    client = _make_client(command)
    deadline = time.monotonic() + float(str(command.option("timeout")))
    while True:
        status = client.call("GET", "/v1/status", address=_address(command))
        live = [m for m in status["members"] if m["state"] in ("alive", "suspect")]

        def read_number(member: dict[str, Any]) -> tuple[str, int]:
            try:
                response = client.call("GET", "/v1/status", address=member["http"])
            except Problem:
                return member["id"], -1
            return member["id"], int(response["configurations"].get(name, 0))

        with ThreadPoolExecutor(N_STATUS_THREADS) as executor:
            numbers = dict(executor.map(read_number, live))
        behind = {i: n for i, n in sorted(numbers.items()) if n < wanted}
        if not behind:
            command.line(
                f"number {wanted} or higher is in force on {len(live)} daemons"
            )
            return 0
        if time.monotonic() >= deadline:
            for member, number in behind.items():
                problem = f"has number {number}" if number >= 0 else "does not answer"
                command.line_error(f"<error>{member} {problem}</error>")
            return 1
        command.line_error(f"waiting for {len(behind)} of {len(live)} daemons")
        time.sleep(WAIT_POLL_S)


def print_audit(command: _Command) -> int:
    """Prints accepted patches, newest first."""
    client = _make_client(command)
    limit = command.option("limit")
    path = f"/v1/deployments/{command.argument('deployment')}/audit?limit={limit}"
    entries = client.call("GET", path, address=_address(command))["entries"]
    if command.option("json"):
        _print_json(command, entries)
        return 0
    rows = [
        [
            e["number"],
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(e["time"])),
            e["author"],
            e["patch_id"],
            json.dumps(e["patch"]),
        ]
        for e in entries
    ]
    _print_rows(command, ["Number", "UTC", "Operator", "Patch id", "Patch"], rows)
    return 0


# Callers.


def ask_model(command: _Command) -> int:
    """Streams a completion to standard output."""
    client = _make_client(command)
    document = {
        "model": str(command.option("model")),
        "prompt": " ".join(command.argument("prompt")),
        "max_tokens": int(str(command.option("max-tokens"))),
    }
    shown = 0
    answer = None
    for answer in client.stream("/v1/completions", document):
        if not command.option("json"):
            command.write(answer.text[shown:])
            shown = len(answer.text)
    assert answer is not None
    if command.option("json"):
        _print_json(command, msgspec.to_builtins(answer))
    else:
        command.line("")
        command.line_error(
            f"request {answer.request}, resumed {answer.n_resumes} times"
        )
    return 0


def book(command: _Command) -> int:
    """Calls a service at most once with an idempotency key."""
    client = _make_client(command)
    key = str(command.option("key") or uuid.uuid4().hex)
    path = f"/v1/services/{command.argument('service')}{command.option('path')}"
    document = _read_document(str(command.argument("file")))
    command.line_error(
        f"key {key}: a repeated call with this key is not executed twice"
    )
    response = client.call(
        "POST", path, document=document, headers={"Idempotency-Key": key}
    )
    _print_json(command, response)
    return 0


def print_addresses(command: _Command) -> int:
    """Prints the addresses that callers are given."""
    response = _make_client(command).call(
        "GET", "/v1/addresses", address=_address(command)
    )
    if command.option("json"):
        _print_json(command, response)
        return 0
    rows = [[a["address"], a["zone"], a["id"]] for a in response["addresses"]]
    _print_rows(command, ["Address", "Zone", "Daemon"], rows)
    return 0


def show_request(command: _Command) -> int:
    """Prints the state of a request."""
    path = f"/v1/requests/{command.argument('id')}"
    response = _make_client(command).call("GET", path, address=_address(command))
    _print_json(command, response)
    return 0


# Operation.


def print_status(command: _Command) -> int:
    """Prints a daemon's status and the members and backend servers it knows."""
    response = _make_client(command).call(
        "GET", "/v1/status", address=_address(command)
    )
    if command.option("json"):
        _print_json(command, response)
        return 0
    command.line(
        f"{response['daemon']} in {response['zone']}: {response['drain']}, "
        f"ready {response['ready']}, numbers {response['configurations']}"
    )
    rows = [[m["id"], m["zone"], m["state"], m["http"]] for m in response["members"]]
    _print_rows(command, ["Daemon", "Zone", "State", "Address"], rows)
    _print_backends(command, response["backends"])
    return 0


def print_vms(command: _Command) -> int:
    """Prints the backend servers' VMs."""
    response = _make_client(command).call(
        "GET", "/v1/status", address=_address(command)
    )
    if command.option("json"):
        _print_json(command, response["backends"])
    else:
        _print_backends(command, response["backends"])
    return 0


def _print_backends(command: _Command, backends: list[dict[str, Any]]) -> None:
    rows = [
        [b["id"], b["role"], b["name"], b["zone"], b["state"], b["address"]]
        for b in backends
    ]
    _print_rows(command, ["VM", "Role", "Runs", "Zone", "State", "Address"], rows)


def drain_daemon(command: _Command) -> int:
    """Starts the planned stop of one daemon."""
    _make_client(command).call("POST", "/v1/drain", address=_address(command))
    command.line(f"{_address(command)} is leaving; it directs callers to other daemons")
    return 0


def run_fakes(command: _Command) -> int:
    """Runs fakes of the platform and of backend servers until interrupted."""
    from .fakes.world import load_world_spec, serve_world

    spec = load_world_spec(_read_document(str(command.argument("file"))))
    command.line(f"object API on {spec.objects}, cloud API on {spec.cloud}")
    serve_world(spec)
    return 0


def replay_trace(command: _Command) -> int:
    """Replays a recorded trace with the current policies."""
    from .replay import replay_file

    differences = replay_file(Path(str(command.argument("trace"))))
    for difference in differences[: int(str(command.option("limit")))]:
        command.line_error(difference)
    command.line(f"{len(differences)} differences")
    return 1 if differences else 0


def run_bench(command: _Command) -> int:
    """Runs one experiment by name."""
    from .bench.catalogue import load_experiments

    experiments = load_experiments()
    name = str(command.argument("experiment"))
    if name not in experiments:
        raise InputError(f"no experiment {name!r}; accepted: {', '.join(experiments)}")
    seed, minutes = str(command.option("seed")), str(command.option("minutes"))
    result = experiments[name](int(seed), float(minutes))
    _print_json(command, result.figures)
    return 0 if result.passed else 1


def serve_help(command: _Command) -> int:
    """Prints the usage; normally not reached, since `main` handles `serve` itself."""
    command.line_error("usage: berylpost serve -c FILE.yaml")
    return 1
