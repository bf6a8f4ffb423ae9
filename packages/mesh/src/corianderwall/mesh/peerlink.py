"""HTTP between nodes: calls for an owner and messages share a port and its connections."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

import msgspec

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.flow import Headers
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.mesh.body import BodyReader
from corianderwall.mesh.bodymemory import BodyMemory
from corianderwall.mesh.directory import Directory
from corianderwall.mesh.exchange import Echo, await_exchange, run_exchange
from corianderwall.mesh.linkbytes import START_LINE_BYTES, LinkBytes
from corianderwall.mesh.messages import CallMetadata, Load, NodeRecord, Refusal, ResponseMetadata
from corianderwall.mesh.owner import ForwardedRequest, Owner, OwnerResponse
from corianderwall.mesh.responsememory import ResponseMemory
from corianderwall.mesh.sending import LinkSender
from corianderwall.mesh.settings import HeaderNames
from corianderwall.mesh.tasks import run_call
from corianderwall.model.endpoint import Address
from corianderwall.node.logs import log_info, log_warning

CALL_HEADER = b"cw-call"
"""Carries the `CallMetadata` to the owner."""
RESPONSE_HEADER = b"cw-answer"
"""Carries the `ResponseMetadata` to the entry."""
MESSAGE_HEADER = b"cw-message"
"""Carries the kind of a message between nodes."""
OWN_PREFIX = b"cw-"
PEER_CONNECTIONS = 256
"""Connection limit per peer; no endpoint runs more calls at once."""
PEER_MAX_IDLE_S = 20.0
"""Idle time after which a connection to a peer is closed; messages keep most of them busy."""
PEER_CONNECT_TIMEOUT_S = 0.4
"""Connect timeout for a peer; hundreds of times the delay between zones."""
PEER_USER_TIMEOUT_MS = 800
"""TCP user timeout, enough for two retransmissions."""
PEER_PROBE_AFTER_S = 0.5
"""Time without data on a call after which a new probe connection tests the peer."""
MESSAGE_TIMEOUT_S = 1.0
"""Timeout for the response to a message between nodes."""
STALE_AFTER_S = 1.0
"""Idle time after which a connection is checked before reuse; earlier closes are rare."""
EXPECT_BODY_BYTES = 2048
"""Size from which a request body is sent only after the owner has a slot for the call. Below it the
wait for the owner costs more than a body that is sent for nothing."""
OWNER_MARGIN_S = 0.05
"""Time after the deadline for which an entry waits for the report of the owner."""

_metadata_encoder = msgspec.json.Encoder()
_call_decoder = msgspec.json.Decoder(CallMetadata)
_response_decoder = msgspec.json.Decoder(ResponseMetadata)

MessageType = TypeVar("MessageType")
MessageHandler = Callable[[bytes], bytes | None]


@dataclass(frozen=True, slots=True)
class RemoteOwner:
    """An owner on a peer."""

    link: "PeerLink"
    node: NodeRecord

    async def serve(self, metadata: CallMetadata, request: ForwardedRequest) -> OwnerResponse:
        """Send the call to the peer and return the report of the owner."""
        body = await request.body.read()
        return await self.link.send_call(self.node, metadata, request, body or b"")


class PeerLink:
    """The connections from this node to its peers."""

    def __init__(
        self,
        directory: Directory,
        headers: HeaderNames,
        sender: LinkSender,
        memory: ResponseMemory | None = None,
    ) -> None:
        self._memory = memory or ResponseMemory()
        self._directory = directory
        self._headers = headers
        self._sender = sender
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Address, UpstreamPool] = {}
        self.bytes = LinkBytes(directory.own.zone)

    async def send_call(
        self, node: NodeRecord, metadata: CallMetadata, request: ForwardedRequest, body: bytes
    ) -> OwnerResponse:
        """Send a call to the owner on `node`; if the response is lost, the call may have run.

        The owner asks for a big body once it has a slot for the call, so that a refused one never
        crosses the link.
        """
        headers = [*request.headers, (CALL_HEADER, _metadata_encoder.encode(metadata))]
        call = OutgoingCall(
            method=request.method,
            target=request.target,
            headers=headers,
            deadline=self._loop.time() + metadata.left_ms / 1000 + OWNER_MARGIN_S,
            idempotent=metadata.idempotent,
            body=body,
            expects_continue=len(body) >= EXPECT_BODY_BYTES,
            send_body=self._sender.send_request_body,
        )
        echo = Echo(self._headers.request_id, request.request_id)
        exchange = await run_exchange(self._find_pool(node), call, echo, memory=self._memory)
        response = exchange.response
        if exchange.send_started:
            self.bytes.count("request_bodies", node.zone, len(body))
        if response is not None:
            self.bytes.count_heads(node.zone, headers, response.headers)
            self.bytes.count("response_bodies", node.zone, len(response.body))
        raw = response.find_header(RESPONSE_HEADER) if response is not None else None
        if response is None or raw is None:
            if response is None:
                self._directory.record_failure(node.name, self._loop.time())
            return self._report_no_response(exchange.send_started, exchange.error)
        self._directory.record_response(node.name, self._loop.time())
        try:
            response_metadata = _response_decoder.decode(raw)
        except (msgspec.DecodeError, RecursionError) as error:
            log_warning("cannot decode the report of an owner", node=node.name, error=str(error))
            return self._report_no_response(exchange.send_started, exchange.error)
        if response_metadata.ran:
            kept = [header for header in response.headers if header[0] != RESPONSE_HEADER]
            return OwnerResponse(response_metadata, replace(response, headers=kept))
        return OwnerResponse(response_metadata)

    async def post(self, node: NodeRecord, kind: str, body: bytes) -> bytes | None:
        """Send a message and return the body of the response, None if the message failed."""
        call = OutgoingCall(
            method=b"POST",
            target=b"/",
            headers=[(b"host", b"node"), (MESSAGE_HEADER, kind.encode())],
            deadline=self._loop.time() + MESSAGE_TIMEOUT_S,
            idempotent=True,
            body=body,
        )
        exchange = await await_exchange(self._find_pool(node), call, memory=self._memory)
        response = exchange.response
        reply_size = len(response.body) if response is not None else 0
        self.bytes.count(kind, node.zone, len(body) + reply_size + 2 * START_LINE_BYTES)
        if response is None:
            self._directory.record_failure(node.name, self._loop.time())
            return None
        self._directory.record_response(node.name, self._loop.time())
        return response.body if response.status == 200 else None

    def tick(self) -> None:
        """Check all connections; the node calls this a few times a second."""
        for pool in self._pools.values():
            if pool.open_connections:
                pool.tick()

    def close_unused(self) -> None:
        """Close the connections to addresses that belong to no known node."""
        used = {
            Address(host=peer.record.host, port=peer.record.port)
            for peer in self._directory.peers.values()
        }
        for address in [address for address in self._pools if address not in used]:
            self._pools.pop(address).close()

    def _find_pool(self, node: NodeRecord) -> UpstreamPool:
        address = Address(host=node.host, port=node.port)
        pool = self._pools.get(address)
        if pool is None:
            limits = ClientLimits(
                connect_timeout_s=PEER_CONNECT_TIMEOUT_S,
                max_idle_s=PEER_MAX_IDLE_S,
                max_non_idempotent_idle_s=PEER_MAX_IDLE_S,
                stalled_after_s=PEER_PROBE_AFTER_S,
                probe_timeout_s=PEER_CONNECT_TIMEOUT_S,
                user_timeout_ms=PEER_USER_TIMEOUT_MS,
                has_own_timer=False,
                stale_after_s=STALE_AFTER_S,
            )
            pool = self._pools[address] = UpstreamPool(address, PEER_CONNECTIONS, limits)
        return pool

    def _report_no_response(self, send_started: bool, error: object) -> OwnerResponse:
        text = str(error) if error is not None else "no metadata in the response"
        if send_started:
            return OwnerResponse(ResponseMetadata(ran=None, load=Load(), error=text))
        metadata = ResponseMetadata(
            ran=False, load=Load(), refusal=Refusal.DOWN, error=text, reached=False
        )
        return OwnerResponse(metadata)


class PeerHandler:
    """Handles the calls and messages that peers send to this node."""

    def __init__(
        self,
        owner: Owner,
        headers: HeaderNames,
        handlers: Mapping[str, MessageHandler],
        sender: LinkSender,
        memory: BodyMemory,
    ) -> None:
        self._owner = owner
        self._memory = memory
        self._sender = sender
        self._headers = headers
        self._handlers = handlers

    def handle(self, call: IncomingCall) -> None:
        """Start handling a call or a message."""
        raw = call.find_header(CALL_HEADER)
        if raw is not None:
            run_call(call, self._serve(call, raw))
            return
        kind = call.find_header(MESSAGE_HEADER)
        if kind is not None:
            run_call(call, self._respond_to_message(call, kind.decode("latin-1")))
            return
        # The probe connections of peers request the health of this node.
        call.respond(200 if call.target == b"/health" else 404, [])

    async def _serve(self, call: IncomingCall, raw: bytes) -> None:
        try:
            metadata = _call_decoder.decode(raw)
        except msgspec.DecodeError as error:
            log_warning("cannot decode the call header from a peer", error=str(error))
            call.respond(400, [])
            return
        headers = [header for header in call.headers if header[0] != CALL_HEADER]
        request_id = call.find_header(self._headers.request_id) or b""
        body = BodyReader(call, memory=self._memory)
        try:
            if body.admit():
                request = ForwardedRequest(request_id, call.method, call.target, headers, body)
                reply = await self._owner.serve(metadata, request)
            else:
                reply = self._report_no_memory(metadata, request_id)
        finally:
            body.release()
        encoded = (RESPONSE_HEADER, _metadata_encoder.encode(reply.metadata))
        if reply.response is None:
            call.respond(503, [(self._headers.request_id, request_id), encoded])
        else:
            # An endpoint could otherwise speak to the entry in the owner's name.
            headers = [*strip_own_headers(reply.response.headers), encoded]
            self._sender.respond(call, replace(reply.response, headers=headers))

    def _report_no_memory(self, metadata: CallMetadata, request_id: bytes) -> OwnerResponse:
        log_info(
            "no memory for the body of a call",
            request=request_id.decode("latin-1"),
            endpoint=metadata.endpoint,
            held_bytes=self._memory.held,
        )
        return OwnerResponse(
            ResponseMetadata(ran=False, load=Load(), refusal=Refusal.NO_MEMORY, reached=False)
        )

    async def _respond_to_message(self, call: IncomingCall, kind: str) -> None:
        body = await BodyReader(call).read()
        handler = self._handlers.get(kind)
        if body is None or handler is None:
            call.respond(404, [])
            return
        try:
            reply = handler(body)
        except msgspec.DecodeError as error:
            log_warning("cannot decode a message from a peer", kind=kind, error=str(error))
            call.respond(400, [])
            return
        if reply is None:
            call.respond(409, [])
        else:
            call.respond(200, [], reply)


def strip_own_headers(headers: Headers) -> Headers:
    """Return `headers` without the headers that only nodes may send."""
    return [header for header in headers if not header[0].startswith(OWN_PREFIX)]
