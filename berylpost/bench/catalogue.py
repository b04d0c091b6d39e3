"""The experiments that `berylpost bench` runs, by name."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What an experiment found.

    Attributes:
        figures: JSON values, named with their units.
        passed: whether every stated bound held.
    """

    figures: dict[str, Any]
    passed: bool = True


Experiment = Callable[[int, float], Result]

EXPERIMENTS: Final[dict[str, Experiment]] = {}
