"""JSON client of the operators' API, for a demo or measurement that shares the node's reactor."""

import json
import time
from typing import TYPE_CHECKING, Any

import treq
from twisted.internet.task import deferLater

from corianderwall.standins.node_file import TOKEN

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Address


RETRY_INTERVAL_S = 0.1


class OperatorCallError(Exception):
    """A call still failed at the end of its timeout."""


async def call_operator(
    address: "Address | str", method: str, body: dict[str, Any]
) -> dict[str, Any]:
    """Call one method of the operators' API; an error response has the key `code`."""
    response = await treq.post(
        f"http://{address}/corianderwall.v1.Operators/{method}",
        json.dumps(body).encode(),
        headers={"authorization": f"Bearer {TOKEN}", "content-type": "application/json"},
        persistent=False,
    )
    result: dict[str, Any] = json.loads(await response.text())
    return result


async def call_operator_until(
    address: "Address | str", method: str, body: dict[str, Any], *, timeout_s: float
) -> dict[str, Any]:
    """Repeat a call until it succeeds and return its response."""
    from twisted.internet import reactor

    deadline = time.monotonic() + timeout_s
    while True:
        result = await call_operator(address, method, body)
        if "code" not in result:
            return result
        if time.monotonic() > deadline:
            raise OperatorCallError(f"{method} failed: {result}")
        await deferLater(reactor, RETRY_INTERVAL_S)
