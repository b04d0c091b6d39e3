"""Stand-in for the platform's duty calls, which judges who made them.

Takes usage reports and orders of servers, and writes down every breach of the rules
for holders: a fencing number that goes back or is shared, two holders by turns within
one lease, two different reports for one window.
"""

import time
from typing import Any, Final

from .server import Reply, Request, StandIn, reply_json

LEASE_S: Final = 3.0


class DutyCallChecker:
    """Keeps what was called for, by subject, and the breaches."""

    def __init__(self, *, lease_s: float = LEASE_S) -> None:
        self.reports: dict[int, Any] = {}
        self.violations: list[str] = []
        self.n_calls = 0
        self._lease_s = lease_s
        self._acts: dict[str, list[tuple[float, str, int]]] = {}

    def record_call(self, subject: str, holder: str, fence: int, now: float) -> None:
        """Judges one call."""
        self.n_calls += 1
        acts = self._acts.setdefault(subject, [])
        if acts and fence < max(number for _, _, number in acts):
            self.violations.append(f"{subject}: fence {fence} goes back")
        if any(n == fence and who != holder for _, who, n in acts):
            self.violations.append(f"{subject}: fence {fence} has two holders")
        between = False
        for at, who, _ in reversed(acts):
            if now - at > self._lease_s:
                break
            if who != holder:
                between = True
            elif between:
                self.violations.append(f"{subject}: {holder} acts again too soon")
                break
        acts.append((now, holder, fence))

    def record_report(self, window: int, counts: Any) -> None:
        """Judges one usage report."""
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(f"window {window}: two different reports")


class DutyApi:
    """The calls over HTTP; `spot_available` tells whether orders are accepted."""

    def __init__(self, *, endpoint: str) -> None:
        self.checker = DutyCallChecker()
        self.orders: dict[tuple[str, str, bool], int] = {}
        self.spot_available = True
        self.server = StandIn(endpoint=endpoint, handle=self._handle)

    async def _handle(self, request: Request) -> Reply:
        holder = request.headers.get("x-berylpost-duty-holder", "")
        fence = int(request.headers.get("x-berylpost-fence-token", "0"))
        document = request.decode()
        now = time.monotonic()
        if request.path == "/usage":
            self.checker.record_call("usage", holder, fence, now)
            self.checker.record_report(document["WindowId"], document["RequestCounts"])
            return reply_json({})
        subject = f"{document['Service']}/{document['Zone']}"
        self.checker.record_call(subject, holder, fence, now)
        spot = bool(document.get("Spot"))
        if spot and not self.spot_available:
            return reply_json({"Error": "none available"}, 409)
        key = (document["Service"], document["Zone"], spot)
        self.orders[key] = document["Desired"]
        return reply_json({})
