"""HTTP between nodes: calls for an owner, and messages, on one port and one kind of connection."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.flow import Headers
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.mesh.body import BodyReader
from corianderwall.mesh.directory import Directory
from corianderwall.mesh.exchange import Answer, await_exchange, run_exchange
from corianderwall.mesh.messages import AnswerNote, CallNote, Load, NodeRecord, Refusal
from corianderwall.mesh.owner import ForwardedRequest, Owner, OwnerAnswer
from corianderwall.mesh.sending import AnswerSender
from corianderwall.mesh.settings import HeaderNames
from corianderwall.mesh.tasks import run_call
from corianderwall.model.endpoint import Address
from corianderwall.node.logs import log_warning

CALL_HEADER = b"cw-call"
"""Carries the note of a call to its owner."""
ANSWER_HEADER = b"cw-answer"
"""Carries the note of the answer back to the entry."""
MESSAGE_HEADER = b"cw-message"
"""Names the kind of a message between nodes."""
OWN_PREFIX = b"cw-"
PEER_CONNECTIONS = 256
"""Connections to one peer; more calls than this never run at one endpoint."""
PEER_IDLE_S = 20.0
"""Idle time after which a connection to a peer is closed; messages keep most of them in use."""
PEER_CONNECT_S = 0.4
"""Time to connect to a peer; hundreds of times the delay between zones."""
PEER_USER_TIMEOUT_MS = 800
"""Time for which sent bytes may stay unacknowledged, enough for two retransmissions."""
PEER_SUSPECT_S = 0.5
"""Silence of a call after which a fresh connection is compared with the old ones."""
MESSAGE_TIMEOUT_S = 1.0
"""Time for the answer to a message between nodes."""
STALE_AFTER_S = 1.0
"""Idle time after which a connection is looked at before its use; closes are rare before."""
OWNER_MARGIN_S = 0.05
"""Time that an entry waits beyond the deadline for the owner's account of a call."""

_note_encoder = msgspec.json.Encoder()
_call_decoder = msgspec.json.Decoder(CallNote)
_answer_decoder = msgspec.json.Decoder(AnswerNote)

MessageType = TypeVar("MessageType")
MessageHandler = Callable[[bytes], bytes | None]


@dataclass(frozen=True, slots=True)
class RemoteOwner:
    """The owner on another node."""

    link: "PeerLink"
    node: NodeRecord

    async def serve(self, note: CallNote, request: ForwardedRequest) -> OwnerAnswer:
        """Send the call to its owner and read what the owner tells."""
        return await self.link.send_call(self.node, note, request)


class PeerLink:
    """The connections from this node to the others."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Address, UpstreamPool] = {}

    async def send_call(
        self, node: NodeRecord, note: CallNote, request: ForwardedRequest
    ) -> OwnerAnswer:
        """Send a call to the owner on `node`; a lost answer leaves open whether it has run."""
        headers = [*request.headers, (CALL_HEADER, _note_encoder.encode(note))]
        call = OutgoingCall(
            method=request.method,
            target=request.target,
            headers=headers,
            deadline=self._loop.time() + note.left_ms / 1000 + OWNER_MARGIN_S,
            idempotent=note.idempotent,
            body=request.body,
        )
        exchange = await run_exchange(self._find_pool(node), call)
        answer = exchange.answer
        raw = answer.find_header(ANSWER_HEADER) if answer is not None else None
        if answer is None or raw is None:
            if answer is None:
                self._directory.note_silence(node.name, self._loop.time())
            return self._describe_silence(exchange.handed_over, exchange.error)
        self._directory.note_answer(node.name, self._loop.time())
        told = _answer_decoder.decode(raw)
        if told.ran:
            kept = [header for header in answer.headers if header[0] != ANSWER_HEADER]
            return OwnerAnswer(told, Answer(answer.status, kept, answer.body))
        return OwnerAnswer(told)

    async def post(self, node: NodeRecord, kind: str, body: bytes) -> bytes | None:
        """Send a message and return the body of the answer, or None if there was none."""
        call = OutgoingCall(
            method=b"POST",
            target=b"/",
            headers=[(b"host", b"node"), (MESSAGE_HEADER, kind.encode())],
            deadline=self._loop.time() + MESSAGE_TIMEOUT_S,
            idempotent=True,
            body=body,
        )
        exchange = await await_exchange(self._find_pool(node), call)
        answer = exchange.answer
        if answer is None:
            self._directory.note_silence(node.name, self._loop.time())
            return None
        self._directory.note_answer(node.name, self._loop.time())
        return answer.body if answer.status == 200 else None

    def tick(self) -> None:
        """Look after all connections; to be called a few times a second."""
        for pool in self._pools.values():
            if pool.open_connections:
                pool.tick()

    def close_unused(self) -> None:
        """Close the connections to addresses that no known node has."""
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
                connect_timeout_s=PEER_CONNECT_S,
                max_idle_s=PEER_IDLE_S,
                max_non_idempotent_idle_s=PEER_IDLE_S,
                stalled_after_s=PEER_SUSPECT_S,
                probe_timeout_s=PEER_CONNECT_S,
                user_timeout_ms=PEER_USER_TIMEOUT_MS,
                has_own_timer=False,
                stale_after_s=STALE_AFTER_S,
            )
            pool = self._pools[address] = UpstreamPool(address, PEER_CONNECTIONS, limits)
        return pool

    def _describe_silence(self, handed_over: bool, error: object) -> OwnerAnswer:
        text = str(error) if error is not None else "no note"
        if handed_over:
            return OwnerAnswer(AnswerNote(ran=None, load=Load(), error=text))
        note = AnswerNote(ran=False, load=Load(), refusal=Refusal.DOWN, error=text, reached=False)
        return OwnerAnswer(note)


class PeerPort:
    """Handles what other nodes send to this one."""

    def __init__(
        self,
        owner: Owner,
        headers: HeaderNames,
        handlers: Mapping[str, MessageHandler],
        sender: AnswerSender,
    ) -> None:
        self._owner = owner
        self._sender = sender
        self._headers = headers
        self._handlers = handlers

    def handle(self, call: IncomingCall) -> None:
        """Start to work on a call or a message."""
        raw = call.find_header(CALL_HEADER)
        if raw is not None:
            run_call(call, self._serve(call, raw))
            return
        kind = call.find_header(MESSAGE_HEADER)
        if kind is not None:
            run_call(call, self._answer_message(call, kind.decode("latin-1")))
            return
        # The comparison of connections asks for the health of a node.
        call.respond(200 if call.target == b"/health" else 404, [])

    async def _serve(self, call: IncomingCall, raw: bytes) -> None:
        try:
            note = _call_decoder.decode(raw)
        except msgspec.DecodeError as error:
            log_warning("a call with a damaged note", error=str(error))
            call.respond(400, [])
            return
        body = await BodyReader(call, math.inf).read()
        if body is None:
            return
        headers = [header for header in call.headers if header[0] != CALL_HEADER]
        request_id = call.find_header(self._headers.request_id) or b""
        request = ForwardedRequest(request_id, call.method, call.target, headers, body)
        told = await self._owner.serve(note, request)
        encoded = (ANSWER_HEADER, _note_encoder.encode(told.note))
        if told.answer is None:
            call.respond(503, [encoded])
        else:
            headers = [*told.answer.headers, encoded]
            self._sender.send(call, told.answer.status, headers, told.answer.body)

    async def _answer_message(self, call: IncomingCall, kind: str) -> None:
        body = await BodyReader(call, math.inf).read()
        handler = self._handlers.get(kind)
        if body is None or handler is None:
            call.respond(404, [])
            return
        try:
            reply = handler(body)
        except msgspec.DecodeError as error:
            log_warning("a damaged message", kind=kind, error=str(error))
            call.respond(400, [])
            return
        if reply is None:
            call.respond(409, [])
        else:
            call.respond(200, [], reply)


def strip_own_headers(headers: Headers) -> Headers:
    """Return `headers` without those that only nodes may send."""
    return [header for header in headers if not header[0].startswith(OWN_PREFIX)]
