"""Requests to peers and their replies, as datagrams.

Either may be lost; the requester waits a short time and continues without.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from ruddergate import environment
from ruddergate.fleet import store_position
from ruddergate.messages import document_part
from ruddergate.messages import rate_token_transfer
from ruddergate.messages import retry_transfer
from ruddergate.messages import store_changes
from ruddergate.telemetry import logs

Request: TypeAlias = (
    store_changes.StoreChangesRequest
    | rate_token_transfer.RateTokenRequest
    | retry_transfer.RetryTransferRequest
    | document_part.SettingsRequest
    | document_part.TargetsRequest
)
Reply: TypeAlias = (
    store_changes.StoreChangesReply
    | rate_token_transfer.RateTokenReply
    | retry_transfer.RetryTransferReply
    | document_part.DocumentPart
)
REQUESTS = (
    store_changes.StoreChangesRequest,
    rate_token_transfer.RateTokenRequest,
    retry_transfer.RetryTransferRequest,
    document_part.SettingsRequest,
    document_part.TargetsRequest,
)
REPLIES = (
    store_changes.StoreChangesReply,
    rate_token_transfer.RateTokenReply,
    retry_transfer.RetryTransferReply,
    document_part.DocumentPart,
)
# Peers in the same hall reply within a few milliseconds, a busy one within some
# tens of milliseconds.
REPLY_TIMEOUT_MS = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateTokens:
    """What a peer replied to a request for rate tokens.

    Attributes:
        correlation_id: Identifies the request.
        target_ids: Targets of which one token each was transferred; None
            without a valid reply.
        next_ms: Time until the peer may have another token.
    """

    correlation_id: str
    target_ids: tuple[str, ...] | None = None
    next_ms: float = 0.0


class PeerRpc:
    """Sends requests to peers, and replies to theirs.

    Args:
        env: Clock and random numbers.
        own: Where this VM receives datagrams.
        send: Sends a message to a peer.
        handle_request: Returns this VM's reply to a peer's request, or None.
    """

    def __init__(
        self,
        env: environment.Environment,
        own: environment.Address,
        send: Callable[[Request | Reply, str], None],
        handle_request: Callable[[Request], Reply | None],
    ) -> None:
        self._env = env
        self._own = str(own)
        self._send = send
        self._handle_request = handle_request
        self._pending: dict[str, asyncio.Future[Reply]] = {}
        self._log = logs.make_logger("peers")

    async def request_changes(
        self,
        peer: str,
        position: store_position.StorePosition,
        correlation_id: str = "",
    ) -> store_changes.StoreChangesReply | None:
        """Returns a peer's changes of the store, or None without a reply.

        Args:
            peer: The peer.
            position: Where the changes start.
            correlation_id: An id that no other request has, in any run; a
                random one is made if it is empty.
        """
        request = store_changes.StoreChangesRequest(
            self._own,
            correlation_id or self._make_correlation_id(),
            position.revision,
            position.epoch,
        )
        reply = await self._call(request, peer)
        return (
            reply
            if isinstance(reply, store_changes.StoreChangesReply)
            else None
        )

    async def request_settings(
        self, peer: str, revision: int, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part of a peer's settings, or None without a reply."""
        request = document_part.SettingsRequest(
            self._own, self._make_correlation_id(), revision, part
        )
        return await self._request_part(request, peer)

    async def request_targets(
        self, peer: str, position: store_position.StorePosition, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part of a peer's targets, or None without a reply."""
        request = document_part.TargetsRequest(
            self._own,
            self._make_correlation_id(),
            position.epoch,
            position.revision,
            part,
        )
        return await self._request_part(request, peer)

    async def _request_part(
        self, request: Request, peer: str
    ) -> document_part.DocumentPart | None:
        reply = await self._call(request, peer)
        return reply if isinstance(reply, document_part.DocumentPart) else None

    async def request_retries(
        self, peer: str, retries: float, is_large: bool
    ) -> float:
        """Returns the retry budget that a peer transferred to this VM."""
        reply = await self._call(
            retry_transfer.RetryTransferRequest(
                self._own, self._make_correlation_id(), retries, is_large
            ),
            peer,
        )
        if not isinstance(reply, retry_transfer.RetryTransferReply):
            return 0.0
        if not 0.0 <= reply.retries <= retries:
            self._log.warning(
                "Ignoring retry transfer: amount was not requested."
            )
            return 0.0
        return reply.retries

    async def request_rate_tokens(
        self,
        peer: str,
        limits: tuple[rate_token_transfer.KnownLimit, ...],
        tokens: int,
    ) -> RateTokens:
        """Asks a peer for tokens of targets' rate limits."""
        request = rate_token_transfer.RateTokenRequest(
            self._own, self._make_correlation_id(), limits, tokens
        )
        reply = await self._call(request, peer)
        if not isinstance(reply, rate_token_transfer.RateTokenReply):
            return RateTokens(request.correlation_id)
        requested = {each.target_id for each in limits}
        transferred = set(reply.target_ids)
        is_excessive = len(reply.target_ids) > min(tokens, len(transferred))
        if is_excessive or not transferred <= requested:
            self._log.warning(
                "Ignoring rate tokens: they were not requested.", peer=peer
            )
            return RateTokens(request.correlation_id)
        return RateTokens(
            request.correlation_id, reply.target_ids, reply.next_ms
        )

    def receive(self, message: Request | Reply) -> None:
        """Handles a datagram that is a request or a reply."""
        if isinstance(message, REQUESTS):
            self._send_reply(message)
            return
        pending = self._pending.pop(message.correlation_id, None)
        if pending is not None and not pending.done():
            pending.set_result(message)

    def _send_reply(self, request: Request) -> None:
        try:
            environment.parse_address(request.sender)
        except ValueError:
            self._log.warning("Ignoring request: sender is not an address.")
            return
        reply = self._handle_request(request)
        if reply is not None:
            self._send(reply, request.sender)

    def _make_correlation_id(self) -> str:
        """Returns an id that no other request to a peer has, in any run.

        A reply that arrives late, or after a restart, then matches no request.
        """
        return environment.make_random_id(self._env.random, 16)

    async def _call(self, request: Request, peer: str) -> Reply | None:
        loop = asyncio.get_running_loop()
        pending = self._pending[request.correlation_id] = loop.create_future()
        self._send(request, peer)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_MS / 1000.0):
                return await pending
        except TimeoutError:
            return None
        finally:
            self._pending.pop(request.correlation_id, None)
