"""Measures the overhead of the entry compared with direct engine calls.

Latency is measured with pairs of one-token requests, one direct and one through
the entry, in turn; request throughput with concurrent workers; token throughput
with many slow concurrent streams.
"""

import asyncio
import json
import pathlib
import time

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.experiments import summary
from ruddergate.http import client
from standins import processes

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_KEY = "demo-bezigrad"
_STEP_MS = 50.0
_TIMEOUT_MS = 120_000.0


def _make_direct_request(number: int) -> client.message.OutgoingRequest:
    document = {
        "stream": f"direct-{number}",
        "owner": "bench",
        "request": f"{number}",
        "prompt": f"p{number}",
        "prompt_tokens": 10,
        "first_token": 0,
        "output_tokens_max": 1,
        "delivered": [],
        "priority": 0,
        "prefix": "",
        "prefix_tokens": 0,
        "lapse_ms": 10_000,
        "key": "",
        "reservation": "",
        "kv_parts": [],
    }
    return client.make_json_request("POST", "/v1/generate", document)


def _make_entry_request(number: int, tokens: int, stream: bool):  # noqa: ANN202
    document = {"prompt": f"p{number}", "max_tokens": tokens, "stream": stream}
    headers = {
        "authorization": f"Bearer {_KEY}",
        "ruddergate-workload": "archives",
    }
    return client.message.OutgoingRequest(
        "POST", "/v1/completions", headers, orjson.dumps(document)
    )


async def _time_request(env, address, request) -> float:  # noqa: ANN001
    began_ms = env.now_ms()
    answer = await client.fetch(env, address, request, _TIMEOUT_MS)
    if isinstance(answer, client.Fault) or answer.status != 200:
        raise RuntimeError(f"request failed: {answer}")
    return env.now_ms() - began_ms


async def _measure_latency(
    run: processes.Processes, pairs: int
) -> dict[str, float]:
    env = environment.make_system_environment()
    engine = environment.Address("127.0.0.1", run.ports["engine-1"])
    entry = environment.Address("127.0.0.1", run.entries["vm-1"])
    direct, through_entry = [], []
    for number in range(pairs):
        direct.append(
            await _time_request(env, engine, _make_direct_request(number))
        )
        request = _make_entry_request(number, 1, stream=True)
        through_entry.append(await _time_request(env, entry, request))
    figures = {}
    for percent in (50, 99):
        own = summary.percentile(direct, percent)
        added = summary.percentile(through_entry, percent) - own
        figures[f"direct_p{percent}_ms"] = own
        figures[f"added_p{percent}_ms"] = round(added, 3)
    return figures


async def _measure_requests(
    run: processes.Processes, workers: int, seconds: float
) -> dict[str, float]:
    env = environment.make_system_environment()
    entry = environment.Address("127.0.0.1", run.entries["vm-1"])
    done = 0
    until_s = time.monotonic() + seconds

    async def work(worker: int) -> None:
        nonlocal done
        while time.monotonic() < until_s:
            request = _make_entry_request(
                worker * 1_000_000 + done, 1, stream=False
            )
            await _time_request(env, entry, request)
            done += 1

    started_s, cpu_before_s = time.monotonic(), run.measure_cpu_s("entry vm-1")
    await asyncio.gather(*(work(number) for number in range(workers)))
    elapsed_s = time.monotonic() - started_s
    cpu_used_s = run.measure_cpu_s("entry vm-1") - cpu_before_s
    return {
        "requests_per_s": round(done / elapsed_s, 1),
        "entry_core": round(cpu_used_s / elapsed_s, 3),
        "entry_ms_per_request": round(cpu_used_s / done * 1000.0, 3),
    }


async def _measure_tokens(
    run: processes.Processes, streams: int, tokens: int
) -> dict[str, float]:
    env = environment.make_system_environment()
    entry = environment.Address("127.0.0.1", run.entries["vm-1"])
    started_s, cpu_before_s = time.monotonic(), run.measure_cpu_s("entry vm-1")
    await asyncio.gather(
        *(
            _time_request(
                env, entry, _make_entry_request(number, tokens, stream=True)
            )
            for number in range(streams)
        )
    )
    elapsed_s = time.monotonic() - started_s
    cpu_used_s = run.measure_cpu_s("entry vm-1") - cpu_before_s
    return {
        "tokens_per_s": round(streams * tokens / elapsed_s, 1),
        "entry_core": round(cpu_used_s / elapsed_s, 3),
        "entry_us_per_token": round(cpu_used_s / (streams * tokens) * 1e6, 2),
        "entry_memory_mb": round(run.measure_memory_mb("entry vm-1"), 1),
    }


def _start(tree: pathlib.Path, *engine_settings: str) -> processes.Processes:
    run = processes.Processes(tree)
    pools = {f"engine-{number}": "model-pool" for number in (1, 2, 3, 4)}
    run.start_platform(
        {**pools, "service-1": "estate-app"},
        {"vm-1": "hall-vic"},
        *engine_settings,
    )
    run.start_vm("vm-1", stop_lag_ms="0", log_level="ERROR")
    run.wait_ready()
    return run


def main(
    *,
    pairs: int = 400,
    workers: int = 16,
    seconds: float = 5.0,
    streams: int = 560,
    tokens: int = 200,
) -> None:
    """Prints the figures as JSON.

    Args:
        pairs: Pairs of requests to measure the latency.
        workers: Concurrent requests to measure the request throughput.
        seconds: Duration of the request throughput measurement.
        streams: Concurrent streams to measure the token throughput.
        tokens: Tokens of each stream.
    """
    tree = json.loads((_EXAMPLES / "stanovanjski-signal.json").read_text())
    for branch in tree["branches"].values():
        settings = branch.get("settings", {})
        settings.pop("requests_per_s_max", None)
        settings.pop("concurrency_max", None)
    folder = pathlib.Path(processes.tempfile.mkdtemp())
    path = folder / "tree.json"
    path.write_text(json.dumps(tree))
    run = _start(path, "--step-ms=0.2")
    try:
        print("latency", asyncio.run(_measure_latency(run, pairs)))
        print("requests", asyncio.run(_measure_requests(run, workers, seconds)))
    finally:
        run.close()
    run = _start(path, f"--step-ms={_STEP_MS}")
    try:
        print("tokens", asyncio.run(_measure_tokens(run, streams, tokens)))
    finally:
        run.close()
    path.unlink()
    folder.rmdir()


if __name__ == "__main__":
    cyclopts.run(main)
