"""The command-line interface: names, descriptions, arguments and options.

The functions that carry out the commands are in `commands`.
"""

from cleo.application import Application
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput

from . import VERSION
from .commands import (
    CONNECTION,
    JSON,
    ask_model,
    book,
    check_settings,
    drain_daemon,
    explain,
    get_configuration,
    init_configuration,
    make_command,
    make_keys,
    make_token_hash,
    patch_configuration,
    print_addresses,
    print_audit,
    print_status,
    print_vms,
    replay_trace,
    run_bench,
    run_fakes,
    serve_help,
    show_request,
    wait_configuration,
)
from .configuration_check import check_configuration


def make_application() -> Application:
    """Builds the command-line application with all commands."""
    deployment = argument("deployment", "Name of the deployment")
    commands = [
        make_command("serve", "Run a daemon: serve -c FILE.yaml", serve_help),
        make_command(
            "check",
            "Check a settings file",
            check_settings,
            [argument("file", "Settings, YAML")],
            [JSON],
        ),
        make_command(
            "explain",
            "Print the log lines that explain a request",
            explain,
            [
                argument("id", "Request id that the caller sent"),
                argument("files", "Log files of the daemons", multiple=True),
            ],
        ),
        make_command("keys new", "Make a CURVE key pair", make_keys, [], [JSON]),
        make_command(
            "keys hash",
            "Hash a bearer token for the configuration",
            make_token_hash,
            [argument("token", "The token")],
        ),
        make_command(
            "config init",
            "Write the first configuration of a deployment",
            init_configuration,
            [deployment, argument("file", "Configuration, YAML or JSON")],
            [option("objects", "o", "Object API, http://IP-NUMBER:PORT", flag=False)],
        ),
        make_command(
            "config check",
            "Check a configuration before it is sent; status 1 if it has a fault",
            check_configuration,
            [argument("file", "Configuration, YAML or JSON")],
            [option("in-force", None, "Configuration that it replaces", flag=False)],
        ),
        make_command(
            "config get",
            "Print the configuration in force",
            get_configuration,
            [deployment],
            CONNECTION,
        ),
        make_command(
            "config patch",
            "Submit a merge patch (object) or JSON patch (list)",
            patch_configuration,
            [deployment, argument("file", "Patch, YAML or JSON, - for standard input")],
            [
                *CONNECTION,
                option("number", "N", "Number the patch was made against", flag=False),
                option("id", None, "Patch id, to repeat it safely", flag=False),
            ],
        ),
        make_command(
            "config wait",
            "Wait until a configuration is in force on all daemons",
            wait_configuration,
            [deployment, argument("number", "Configuration number")],
            [
                *CONNECTION,
                option(
                    "timeout", None, "Time-out in seconds", flag=False, default="15"
                ),
            ],
        ),
        make_command(
            "config history",
            "Print accepted patches",
            print_audit,
            [deployment],
            [
                *CONNECTION,
                option("limit", "l", "Number of patches", flag=False, default="20"),
            ],
        ),
        make_command(
            "audit",
            "Print accepted patches",
            print_audit,
            [deployment],
            [
                *CONNECTION,
                option("limit", "l", "Number of patches", flag=False, default="20"),
            ],
        ),
        make_command(
            "ask",
            "Stream a completion",
            ask_model,
            [argument("prompt", "The prompt", multiple=True)],
            [
                *CONNECTION,
                option("model", "m", "Model", flag=False, default="summary-7b"),
                option("max-tokens", None, "Maximum tokens", flag=False, default="64"),
            ],
        ),
        make_command(
            "book",
            "Call a service at most once, with an idempotency key",
            book,
            [
                argument("service", "Name of the service"),
                argument("file", "Body, YAML or JSON, - for standard input"),
            ],
            [
                *CONNECTION,
                option("key", "k", "Idempotency key", flag=False),
                option(
                    "path", "p", "Path at the service", flag=False, default="/bookings"
                ),
            ],
        ),
        make_command(
            "addresses",
            "Print the addresses for callers",
            print_addresses,
            [],
            CONNECTION,
        ),
        make_command(
            "status", "Print the status seen by a daemon", print_status, [], CONNECTION
        ),
        make_command(
            "vms", "Print the backend servers' VMs", print_vms, [], CONNECTION
        ),
        make_command(
            "drain", "Start the planned stop of a daemon", drain_daemon, [], CONNECTION
        ),
        make_command(
            "requests show",
            "Print the state of a request",
            show_request,
            [argument("id", "Id of the request")],
            CONNECTION,
        ),
        make_command(
            "fakes",
            "Run stand-ins for the platform and backend servers",
            run_fakes,
            [argument("file", "Description of the stand-ins, YAML")],
        ),
        make_command(
            "replay",
            "Replay recorded decisions with the current policies",
            replay_trace,
            [argument("trace", "Trace, JSON Lines")],
            [
                option(
                    "limit",
                    "l",
                    "Number of differences to print",
                    flag=False,
                    default="10",
                )
            ],
        ),
        make_command(
            "bench",
            "Run an experiment",
            run_bench,
            [argument("experiment", "Name of the experiment")],
            [
                option("seed", "s", "Random seed", flag=False, default="1"),
                option("minutes", None, "Duration in minutes", flag=False, default="1"),
            ],
        ),
    ]
    application = Application("berylpost", VERSION)
    for command in commands:
        application.add(command)
    return application


def run_commands(arguments: list[str]) -> int:
    """Runs the command line.

    Args:
        arguments: command-line arguments without the program name.

    Returns:
        The exit status.
    """
    application = make_application()
    application.auto_exits(False)
    return int(application.run(ArgvInput(["berylpost", *arguments])))
