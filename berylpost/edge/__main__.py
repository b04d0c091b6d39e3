"""Runs the entry daemon: `python -m berylpost.edge`."""

import signal
import sys

# By default, SIGHUP would end the process. The daemon reads its settings later anyway,
# so a change that is signalled before the handler is installed can be ignored.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .daemon import main  # noqa: E402

sys.exit(main())
