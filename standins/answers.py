"""Deterministic answers, so that each can be checked byte for byte."""

import hashlib


def make_token_text(prompt: str, position: int) -> str:
    """Returns the token that every engine generates at a position."""
    data = f"{position}\x00{prompt}".encode()
    return f" {hashlib.blake2b(data, digest_size=3).hexdigest()}"


def make_answer(prompt: str, tokens: int) -> str:
    """Returns the complete answer to a prompt."""
    return "".join(make_token_text(prompt, each) for each in range(tokens))


def make_service_answer(body: str) -> str:
    """Returns the answer of every plain service to a body."""
    return hashlib.blake2b(body.encode(), digest_size=12).hexdigest()
