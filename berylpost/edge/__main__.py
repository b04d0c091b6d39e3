"""Runs the entry daemon: `python -m berylpost.edge`."""

import signal
import sys

# A change of settings before the daemon listens must not end it: it reads them later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .daemon import main  # noqa: E402

sys.exit(main())
