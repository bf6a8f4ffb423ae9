"""Sends a call again that an endpoint has not taken, as it had forgotten the connection."""

import asyncio
from dataclasses import replace

import msgspec

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.resting import ConnectionHistory
from corianderwall.mesh.exchange import Echo, Exchange, run_exchange
from corianderwall.mesh.messages import CallMetadata
from corianderwall.mesh.owner import ForwardedRequest, OwnerResponse
from corianderwall.mesh.responsememory import ResponseMemory
from corianderwall.node.logs import log_info


async def resend(
    pool: UpstreamPool, call: OutgoingCall, echo: Echo, memory: ResponseMemory
) -> Exchange:
    """Send `call` on a connection that has not rested.

    The first request may have run, so the outcome never says that none was sent.
    """
    exchange = await run_exchange(pool, call, echo, fresh=True, memory=memory)
    return replace(exchange, send_started=True, resent=True)


def mark_resent(reply: OwnerResponse, exchange: Exchange) -> OwnerResponse:
    """Return `reply` with the note that the call was sent twice, if it was.

    If the endpoint has refused the second request, the first one may still have run.
    """
    if not exchange.resent:
        return reply
    metadata = msgspec.structs.replace(reply.metadata, resent=True)
    if metadata.ran is False:
        metadata = msgspec.structs.replace(metadata, ran=None, refusal=None)
    return replace(reply, metadata=metadata)


def log_drop(
    history: ConnectionHistory,
    metadata: CallMetadata,
    request: ForwardedRequest,
    exchange: Exchange,
    *,
    resent: bool,
) -> None:
    """Log that the endpoint had forgotten a connection, and what follows from it."""
    now = asyncio.get_running_loop().time()
    log_info(
        "the endpoint had dropped a rested connection",
        request=request.request_id.decode(),
        endpoint=metadata.endpoint,
        rest_ms=round(exchange.rest_s * 1000, 1),
        idempotent=metadata.idempotent,
        resent=resent,
        limit_ms=round(history.limit_rest_s(idempotent=True, now=now) * 1000),
        non_idempotent_limit_ms=round(history.limit_rest_s(idempotent=False, now=now) * 1000),
        drops=history.drops,
    )
