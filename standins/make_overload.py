"""Makes a trace of equal prompts of three workloads at a constant rate."""

import pathlib
import random

import cyclopts

from ruddergate.experiments import trace

_WORKLOADS = ("repairs", "letters", "archives")
_TOKENS = 8_000
_OUTPUT_TOKENS = 20
_TIME_LIMIT_MS = 8_000.0


def main(
    path: pathlib.Path,
    *,
    rate_per_s: float,
    duration_ms: float = 25_000.0,
    seed: int = 3,
) -> None:
    """Writes the trace; the workloads are those of stanovanjski-signal.

    Args:
        path: File to write.
        rate_per_s: Mean number of requests per second.
        duration_ms: Duration of the trace.
        seed: Seed of the random number generator.
    """
    rng = random.Random(seed)
    lines = []
    at_ms = 0.0
    while at_ms < duration_ms:
        at_ms += rng.expovariate(rate_per_s) * 1000.0
        lines.append(
            trace.TracedRequest(
                round(at_ms, 3),
                f"r{len(lines)}",
                rng.choice(("ljubljana-center", "bezigrad", "siska")),
                rng.choice(_WORKLOADS),
                prompt_tokens=_TOKENS,
                output_tokens=_OUTPUT_TOKENS,
                time_limit_ms=_TIME_LIMIT_MS,
            )
        )
    trace.write_trace(path, lines)


if __name__ == "__main__":
    cyclopts.run(main)
