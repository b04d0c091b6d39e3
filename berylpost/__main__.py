"""Runs the program when invoked as `python -m berylpost`."""

import sys

from .main import main

sys.exit(main())
