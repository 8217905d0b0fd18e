"""Replays a trace against running entries for `ruddergatectl`."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib

import orjson

from ruddergate import environment
from ruddergate.experiments import caller
from ruddergate.experiments import outcome as outcomes
from ruddergate.experiments import summary as summaries
from ruddergate.experiments import trace


def read_keys(path: pathlib.Path | None) -> Mapping[str, str]:
    """Returns the key of each workspace; an empty mapping without a file.

    Raises:
        ValueError: The file is malformed.
        OSError: The file can't be read.
    """
    if path is None:
        return {}
    keys_by_workspace = orjson.loads(path.read_bytes())
    if not isinstance(keys_by_workspace, dict):
        raise ValueError(f"{path}: expected a JSON object of keys by workspace")
    return keys_by_workspace


async def run(
    lines: Sequence[trace.Line],
    addresses: Sequence[environment.Address],
    keys: Mapping[str, str],
    out: pathlib.Path,
    speed: float,
) -> str:
    """Sends the requests and writes the outcomes; returns a table of them."""
    env = environment.make_system_environment()
    began_ms = env.now_ms()
    tasks = []
    requests = [x for x in lines if isinstance(x, trace.TracedRequest)]
    for number, request in enumerate(requests):
        wait_ms = began_ms + request.at_ms / speed - env.now_ms()
        await asyncio.sleep(max(0.0, wait_ms) / 1000.0)
        address = addresses[number % len(addresses)]
        tasks.append(asyncio.ensure_future(_send(env, address, request, keys)))
    found = await asyncio.gather(*tasks)
    not_repeatable = frozenset(x.id for x in requests if not x.repeatable)
    summary = summaries.summarize(found, not_repeatable)
    out.mkdir(parents=True, exist_ok=True)
    outcomes.write_outcomes(out / "outcomes.jsonl", found)
    document = orjson.dumps(
        dataclasses.asdict(summary), option=orjson.OPT_INDENT_2
    )
    (out / "summary.json").write_bytes(document)
    skipped = len(lines) - len(requests)
    table = summaries.render_table(summary)
    return f"{table}\n{skipped} fault lines skipped"


async def _send(
    env: environment.Environment,
    address: environment.Address,
    request: trace.TracedRequest,
    keys: Mapping[str, str],
) -> outcomes.TracedOutcome:
    key = keys.get(request.workspace, f"demo-{request.workspace}")
    outgoing = caller.make_request(request, key, "", 0.0, full_size=True)
    found = await caller.send(
        env, address, request, outgoing, lambda text: bool(text)
    )
    if found is not None:
        return found
    return caller.make_unsent_outcome(request)
