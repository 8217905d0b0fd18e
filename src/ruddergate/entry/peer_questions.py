"""Questions to peers in datagrams, and their answers.

Either may get lost; the asker waits for a short time and goes on without.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from ruddergate import environment
from ruddergate.fleet import store_position
from ruddergate.messages import document_part
from ruddergate.messages import retry_transfer
from ruddergate.messages import store_changes
from ruddergate.telemetry import logs

Question: TypeAlias = (
    store_changes.StoreChangesRequest
    | retry_transfer.RetryTransferRequest
    | document_part.SettingsRequest
    | document_part.TargetsRequest
)
Answer: TypeAlias = (
    store_changes.StoreChangesReply
    | retry_transfer.RetryTransferReply
    | document_part.DocumentPart
)
QUESTIONS = (
    store_changes.StoreChangesRequest,
    retry_transfer.RetryTransferRequest,
    document_part.SettingsRequest,
    document_part.TargetsRequest,
)
ANSWERS = (
    store_changes.StoreChangesReply,
    retry_transfer.RetryTransferReply,
    document_part.DocumentPart,
)
# Peers of a hall answer within a few milliseconds, a busy one within some tens.
ANSWER_TIMEOUT_MS = 120.0


class PeerQuestions:
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
        send: Callable[[Question | Answer, str], None],
        answer: Callable[[Question], Answer | None],
    ) -> None:
        self._outside = outside
        self._own = str(own)
        self._send = send
        self._answer = answer
        self._open: dict[str, asyncio.Future[Answer]] = {}
        self._log = logs.make_logger("peers")

    async def ask_news(
        self, peer: str, position: store_position.StorePosition
    ) -> store_changes.StoreChangesReply | None:
        """Returns what a peer knows of the store, or None without an answer."""
        question = store_changes.StoreChangesRequest(
            self._own, self._name_question(), position.revision, position.epoch
        )
        found = await self._ask(question, peer)
        return (
            found
            if isinstance(found, store_changes.StoreChangesReply)
            else None
        )

    async def ask_settings(
        self, peer: str, revision: int, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part of a peer's settings, or None without an answer."""
        question = document_part.SettingsRequest(
            self._own, self._name_question(), revision, part
        )
        return await self._ask_part(question, peer)

    async def ask_targets(
        self, peer: str, position: store_position.StorePosition, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part of a peer's targets, or None without an answer."""
        question = document_part.TargetsRequest(
            self._own,
            self._name_question(),
            position.epoch,
            position.revision,
            part,
        )
        return await self._ask_part(question, peer)

    async def _ask_part(
        self, question: Question, peer: str
    ) -> document_part.DocumentPart | None:
        found = await self._ask(question, peer)
        return found if isinstance(found, document_part.DocumentPart) else None

    async def ask_retries(
        self, peer: str, retries: float, is_large: bool
    ) -> float:
        """Returns the second sends that a peer has given up for this VM."""
        found = await self._ask(
            retry_transfer.RetryTransferRequest(
                self._own, self._name_question(), retries, is_large
            ),
            peer,
        )
        if not isinstance(found, retry_transfer.RetryTransferReply):
            return 0.0
        if not 0.0 <= found.retries <= retries:
            self._log.warning("Loan dropped, it is not what was asked for.")
            return 0.0
        return found.retries

    def take(self, message: Question | Answer) -> None:
        """Takes in a datagram that is a question or an answer."""
        if isinstance(message, QUESTIONS):
            self._give_answer(message)
            return
        waiting = self._open.pop(message.correlation_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def _give_answer(self, question: Question) -> None:
        try:
            environment.parse_address(question.sender)
        except ValueError:
            self._log.warning("Question dropped, its sender is no address.")
            return
        answer = self._answer(question)
        if answer is not None:
            self._send(answer, question.sender)

    def _name_question(self) -> str:
        """Returns a name that no other question has, of any run of this VM.

        An answer that comes late, or after a restart, then fits no question.
        """
        return environment.make_token(self._outside.random, 16)

    async def _ask(self, question: Question, peer: str) -> Answer | None:
        loop = asyncio.get_running_loop()
        waiting = self._open[question.correlation_id] = loop.create_future()
        self._send(question, peer)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000.0):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._open.pop(question.correlation_id, None)
