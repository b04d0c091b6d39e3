"""Entry point: `serve` starts the daemon; other arguments go to the command line.

The command line is imported only when it is needed.
"""

import sys


def main() -> int:
    """Runs the program.

    Returns:
        The exit status of the process.
    """
    arguments = sys.argv[1:]
    if arguments[:1] == ["serve"]:
        from .daemon import main as run_daemon

        return run_daemon(arguments[1:])
    from .application import run_commands

    return run_commands(arguments)


if __name__ == "__main__":
    sys.exit(main())
