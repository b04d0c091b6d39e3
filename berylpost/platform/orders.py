"""Duty calls to the platform's cloud API: usage reports and server orders."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final

import msgspec

from ..edge.http_channel import HttpChannel
from ..edge.model import Endpoint
from ..errors import DutyCallError, PlatformError
from . import names

# Below the shortest lease, so that a holder's call ends before its lease does.
CALL_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.7  # below 1 s, after which a lost SYN is sent again
DUTY_USAGE: Final = "usage_report"
DUTY_FLEET: Final = "autoscale"


class OrderOutcome(StrEnum):
    """Outcome of a server order."""

    ACCEPTED = "accepted"
    NONE_AVAILABLE = "none_available"


class DutyApiClient:
    """Makes duty calls over one persistent connection.

    Args:
        address: address of the cloud API.
        holder: name of this daemon, which holds the duty.
    """

    def __init__(self, *, address: Endpoint, holder: str) -> None:
        self._holder = holder
        self._channel = HttpChannel(
            address=address, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        *,
        fence: int,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Reports the number of requests of each customer that began in a window.

        Raises:
            DutyCallError: the call was refused, did not connect or got no response.
        """
        document = {"WindowId": window, "RequestCounts": counts}
        await self._post(names.USAGE_PATH, document, fence, timeout_s)

    async def order_servers(
        self,
        service: str,
        zone: str,
        n_servers: int,
        *,
        spot: bool,
        fence: int,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> OrderOutcome:
        """Orders a number of spot or on-demand servers of a service in a zone.

        Raises:
            DutyCallError: the call was refused, did not connect or got no response.
        """
        document: dict[str, Any] = {
            "Service": service,
            "Zone": zone,
            "Desired": n_servers,
        }
        if spot:
            document["Spot"] = True
        status = await self._post(
            names.FLEET_PATH, document, fence, timeout_s, accept=(409,)
        )
        if status == 409:
            return OrderOutcome.NONE_AVAILABLE
        return OrderOutcome.ACCEPTED

    def close(self) -> None:
        """Closes the connection and discards data that has not been sent."""
        self._channel.close()

    async def _post(
        self,
        path: str,
        document: Mapping[str, Any],
        fence: int,
        timeout_s: float,
        accept: tuple[int, ...] = (),
    ) -> int:
        try:
            answer = await self._channel.call(
                "POST",
                path,
                timeout_s=timeout_s,
                body=msgspec.json.encode(document),
                headers={
                    names.DUTY_HOLDER: self._holder,
                    names.DUTY_FENCE: str(fence),
                },
            )
        except PlatformError as error:
            raise DutyCallError(str(error)) from error
        if answer.status >= 300 and answer.status not in accept:
            raise DutyCallError(f"POST {path}: status {answer.status}")
        return answer.status
