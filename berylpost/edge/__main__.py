"""Runs the entry daemon: `python -m berylpost.edge`."""

import sys

from .daemon import main

sys.exit(main())
