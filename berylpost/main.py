"""Entry point: `serve` goes straight to the daemon, all else to the command line."""

import sys


def main() -> int:
    """Runs the program.

    Returns:
        The process's exit status.
    """
    arguments = sys.argv[1:]
    if arguments[:1] == ["serve"]:
        from .daemon import main as run_daemon

        return run_daemon(arguments[1:])
    from .application import run_commands

    return run_commands(arguments)


if __name__ == "__main__":
    sys.exit(main())
