"""Generates traces that resemble the traffic of the two users, from a seed."""

import dataclasses
import math
import pathlib
import random

import cyclopts

from ruddergate.experiments import trace

# Share, minimum and maximum of each length band of prompts, in tokens; one
# prompt in fifty is long.
_BANDS = (
    (0.55, 1_000, 2_500),
    (0.20, 2_500, 4_096),
    (0.15, 4_096, 16_000),
    (0.08, 16_000, 64_000),
    (0.02, 100_000, 1_000_000),
)
# Requests per second of this mix that 20 fake engines can prefill, found by
# replaying the mix at rising rates (docs/MEASUREMENTS.md).
CAPACITY_PER_S = 36.0
_BURST_EVERY_MS = 20_000.0
_BURST_MS = 1_500.0
_BURST_FACTOR = 2.0
_SERVICE_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """The shape of one user's traffic.

    Attributes:
        workspaces: Workspaces.
        weights: Relative request rate of each workspace.
        short: Workload of short prompts.
        medium: Workload of medium prompts.
        long: Workload of long prompts.
        service: Workload of a plain service.
        output: Minimum and maximum length of an answer, in tokens.
    """

    workspaces: tuple[str, ...]
    weights: tuple[float, ...]
    short: str
    medium: str
    long: str
    service: str
    output: tuple[int, int]


_LARGE = (6.0, 5.0, 4.0)
USERS = {
    "stanovanjski-signal": User(
        workspaces=(
            "ljubljana-center",
            "bezigrad",
            "siska",
            "vic",
            "moste",
            "rudnik",
            "fuzine",
            "koseze",
            "trnovo",
            "crnuce",
        ),
        weights=_LARGE + (1.0,) * 7,
        short="repairs",
        medium="letters",
        long="archives",
        service="plumbers",
        output=(40, 200),
    ),
    "voltaruta": User(
        workspaces=(
            "san-jose",
            "heredia",
            "cartago",
            "alajuela",
            "limon",
            "liberia",
            "puntarenas",
            "nicoya",
            "quepos",
            "turrialba",
        ),
        weights=_LARGE + (1.0,) * 7,
        short="taps",
        medium="questions",
        long="histories",
        service="billing",
        output=(20, 120),
    ),
}


def make_trace(
    user: User, load: float, duration_ms: float, seed: int
) -> list[trace.Line]:
    """Returns a trace whose load is a share of the fleet's capacity."""
    rng = random.Random(seed)
    lines: list[trace.Line] = []
    at_ms = 0.0
    while True:
        rate = CAPACITY_PER_S * load * _find_rate_factor(at_ms, duration_ms)
        at_ms += rng.expovariate(rate) * 1000.0
        if at_ms >= duration_ms:
            return lines
        lines.append(_make_request(user, rng, at_ms, len(lines)))


def _find_rate_factor(at_ms: float, duration_ms: float) -> float:
    """Returns a rate factor that rises and falls once, with bursts.

    Its mean over the duration is about 1.
    """
    slope = 0.9 + 0.2 * math.sin(math.pi * at_ms / duration_ms)
    in_burst = at_ms % _BURST_EVERY_MS < _BURST_MS
    return slope * (_BURST_FACTOR if in_burst else 0.94)


def _make_request(
    user: User, rng: random.Random, at_ms: float, number: int
) -> trace.TracedRequest:
    workspace = rng.choices(user.workspaces, user.weights)[0]
    name = f"r{number}"
    at_ms = round(at_ms, 3)
    if rng.random() < _SERVICE_SHARE:
        return trace.TracedRequest(
            at_ms,
            name,
            workspace,
            user.service,
            repeatable=False,
            time_limit_ms=10_000.0,
        )
    tokens = _pick_length(rng)
    workload, limit_ms = _pick_workload(user, tokens)
    has_prefix = tokens < 64_000 and rng.random() < 0.5
    prefix = f"p{rng.randrange(20)}" if has_prefix else ""
    return trace.TracedRequest(
        at_ms,
        name,
        workspace,
        workload,
        prompt_tokens=tokens,
        output_tokens=rng.randint(*user.output),
        prefix=prefix,
        prefix_tokens=int(tokens * 0.6) if prefix else 0,
        time_limit_ms=limit_ms,
    )


def _pick_length(rng: random.Random) -> int:
    shares = [band[0] for band in _BANDS]
    _, min_tokens, max_tokens = rng.choices(_BANDS, shares)[0]
    return int(
        math.exp(rng.uniform(math.log(min_tokens), math.log(max_tokens)))
    )


def _pick_workload(user: User, tokens: int) -> tuple[str, float]:
    if tokens <= 4_096:
        return user.short, 15_000.0
    if tokens < 100_000:
        return user.medium, 45_000.0
    return user.long, 600_000.0


def main(
    folder: pathlib.Path = pathlib.Path("traces"),
    *,
    duration_ms: float = 60_000.0,
    seed: int = 7,
) -> None:
    """Writes the traces of both users at five loads.

    Args:
        folder: Folder for the traces.
        duration_ms: Duration of a trace.
        seed: Seed of the random number generator.
    """
    for name, user in USERS.items():
        for percent in (50, 70, 85, 100, 130):
            lines = make_trace(user, percent / 100.0, duration_ms, seed)
            trace.write_trace(folder / f"{name}-{percent}.jsonl", lines)


if __name__ == "__main__":
    cyclopts.run(main)
