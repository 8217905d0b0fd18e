"""Questions to peers in datagrams, and their answers.

Either may get lost; the asker waits for a short time and goes on without.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from ruddergate import environment
from ruddergate.fleet import store_position
from ruddergate.messages import document_part
from ruddergate.messages import news
from ruddergate.messages import retry_loan
from ruddergate.telemetry import logs

Request: TypeAlias = (
    news.NewsWanted
    | retry_loan.RetriesWanted
    | document_part.SettingsWanted
    | document_part.TargetsWanted
)
Reply: TypeAlias = (
    news.News | retry_loan.RetriesLent | document_part.DocumentPart
)
REQUESTS = (
    news.NewsWanted,
    retry_loan.RetriesWanted,
    document_part.SettingsWanted,
    document_part.TargetsWanted,
)
REPLIES = (news.News, retry_loan.RetriesLent, document_part.DocumentPart)
# Peers of a hall answer within a few milliseconds, a busy one within some tens.
REPLY_TIMEOUT_MS = 120.0


class PeerRpc:
    """Asks peers, and answers theirs.

    Args:
        outside: Clock and chance.
        own: Where this VM takes datagrams.
        send: Sends a message to a peer.
        answer: Returns this VM's answer to a peer's question, if it has one.
    """

    def __init__(
        self,
        outside: environment.Environment,
        own: environment.Address,
        send: Callable[[Request | Reply, str], None],
        answer: Callable[[Request], Reply | None],
    ) -> None:
        self._outside = outside
        self._own = str(own)
        self._send = send
        self._handle_request = answer
        self._pending: dict[str, asyncio.Future[Reply]] = {}
        self._log = logs.make_logger("peers")

    async def request_changes(
        self, peer: str, position: store_position.StorePosition
    ) -> news.News | None:
        """Returns what a peer knows of the store, or None without an answer."""
        question = news.NewsWanted(
            self._own,
            self._make_request_id(),
            position.revision,
            position.epoch,
        )
        found = await self._call(question, peer)
        return found if isinstance(found, news.News) else None

    async def request_settings(
        self, peer: str, revision: int, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part of a peer's settings, or None without an answer."""
        question = document_part.SettingsWanted(
            self._own, self._make_request_id(), revision, part
        )
        return await self._request_chunk(question, peer)

    async def request_targets(
        self, peer: str, position: store_position.StorePosition, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part of a peer's targets, or None without an answer."""
        question = document_part.TargetsWanted(
            self._own,
            self._make_request_id(),
            position.epoch,
            position.revision,
            part,
        )
        return await self._request_chunk(question, peer)

    async def _request_chunk(
        self, question: Request, peer: str
    ) -> document_part.DocumentPart | None:
        found = await self._call(question, peer)
        return found if isinstance(found, document_part.DocumentPart) else None

    async def request_retries(
        self, peer: str, retries: float, is_great: bool
    ) -> float:
        """Returns the second sends that a peer has given up for this VM."""
        found = await self._call(
            retry_loan.RetriesWanted(
                self._own, self._make_request_id(), retries, is_great
            ),
            peer,
        )
        if not isinstance(found, retry_loan.RetriesLent):
            return 0.0
        if not 0.0 <= found.retries <= retries:
            self._log.warning("Loan dropped, it is not what was asked for.")
            return 0.0
        return found.retries

    def receive(self, message: Request | Reply) -> None:
        """Takes in a datagram that is a question or an answer."""
        if isinstance(message, REQUESTS):
            self._send_reply(message)
            return
        waiting = self._pending.pop(message.question, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def _send_reply(self, question: Request) -> None:
        try:
            environment.parse_address(question.sender)
        except ValueError:
            self._log.warning("Request dropped, its sender is no address.")
            return
        answer = self._handle_request(question)
        if answer is not None:
            self._send(answer, question.sender)

    def _make_request_id(self) -> str:
        """Returns a name that no other question has, of any run of this VM.

        An answer that comes late, or after a restart, then fits no question.
        """
        return environment.make_token(self._outside.random, 16)

    async def _call(self, question: Request, peer: str) -> Reply | None:
        loop = asyncio.get_running_loop()
        waiting = self._pending[question.question] = loop.create_future()
        self._send(question, peer)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_MS / 1000.0):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._pending.pop(question.question, None)
