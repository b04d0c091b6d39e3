"""Lets `python -m berylpost` run the program."""

import sys

from .main import main

sys.exit(main())
