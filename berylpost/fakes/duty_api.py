"""Fake of the platform's API for duty calls, with a check on the callers.

It accepts usage reports and server orders and records each violation of the rules for
lease holders: a fencing number that decreases or that two holders use, two holders
whose calls alternate within one lease period, or two different reports for one window.
"""

import time
from typing import Any, Final

from .server import FakeServer, Reply, Request, reply_json

LEASE_S: Final = 3.0


class DutyCallChecker:
    """Keeps the calls by subject and the violations found in them.

    Args:
        lease_s: lease period within which only one holder may make calls.

    Attributes:
        reports: request counts reported for each usage window.
        violations: one line for each violation.
        n_calls: calls checked so far.
    """

    def __init__(self, *, lease_s: float = LEASE_S) -> None:
        self.reports: dict[int, Any] = {}
        self.violations: list[str] = []
        self.n_calls = 0
        self._lease_s = lease_s
        self._calls: dict[str, list[tuple[float, str, int]]] = {}

    def record_call(self, subject: str, holder: str, fence: int, now: float) -> None:
        """Checks a call against earlier ones about the same subject and records it."""
        self.n_calls += 1
        calls = self._calls.setdefault(subject, [])
        if calls and fence < max(number for _, _, number in calls):
            self.violations.append(f"{subject}: fencing number {fence} has decreased")
        if any(n == fence and caller != holder for _, caller, n in calls):
            self.violations.append(f"{subject}: fencing number {fence} has two holders")
        other_called = False
        for at, caller, _ in reversed(calls):
            if now - at > self._lease_s:
                break
            if caller != holder:
                other_called = True
            elif other_called:
                self.violations.append(
                    f"{subject}: {holder} alternates with another holder"
                )
                break
        calls.append((now, holder, fence))

    def record_report(self, window: int, counts: Any) -> None:
        """Checks that a window is always reported with the same counts."""
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(f"window {window}: two different reports")


class DutyApi:
    """Serves the duty calls over HTTP.

    Attributes:
        checker: checks each call.
        orders: number of servers ordered by service, zone and whether they are spot.
        spot_available: whether orders of spot servers are accepted.
    """

    def __init__(self, *, endpoint: str) -> None:
        self.checker = DutyCallChecker()
        self.orders: dict[tuple[str, str, bool], int] = {}
        self.spot_available = True
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

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
