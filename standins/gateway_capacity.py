"""Measures the processor time that one real gateway takes for each request.

`python -m standins.gateway_capacity --rate-per-s 40` starts a store, replicas
and one gateway process, opens a connection for each request at that rate, and
prints how many were answered, when their first bytes came, and the processor
time of the gateway. A VM with a share of a core can serve as many requests a
second as that share divided by the time for one.
"""

import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

import cyclopts

from ruddergate import environment
from standins import _private
from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica
from standins import soak_caller
from standins import soak_gateways
from standins import soak_store

_HOST = "127.0.0.1"
_ENGINES = 18
_SETTLE_S = 2.0
_ROUTE = "short"


async def _measure(
    rate_per_s: float, duration_s: float, output_tokens: int
) -> None:
    rng = random.Random(1)
    store = soak_store.SoakStore(rng)
    store.publish_settings()
    store_port = await _serve(store.store.make_handler())
    engines: dict[str, platform_replica.PlatformReplica] = {}
    for number in range(_ENGINES):
        await _add_engine(store, number, engines)
    ports = tuple(_private.find_free_port() for _ in range(4))
    with tempfile.TemporaryDirectory(dir=".") as folder:
        gateways = soak_gateways.SoakGateways(rng, pathlib.Path(folder), "")
        await gateways.add(
            soak_gateways.LaunchConfig(_HOST, "hall-0", ports, store_port)
        )
        try:
            await gateways.wait_until_listening()
            await asyncio.sleep(_SETTLE_S)
            process_id = gateways.list_process_ids()[0]
            await _send_calls(
                ports[0], process_id, rate_per_s, duration_s, output_tokens
            )
        finally:
            await gateways.kill_all()


async def _send_calls(
    port: int,
    process_id: int,
    rate_per_s: float,
    duration_s: float,
    output_tokens: int,
) -> None:
    idle_s = _read_processor_s(process_id)
    await asyncio.sleep(_SETTLE_S)
    idle_share = (_read_processor_s(process_id) - idle_s) / _SETTLE_S
    before_s = _read_processor_s(process_id)
    began_s = time.monotonic()
    calls = []
    for number in range(round(rate_per_s * duration_s)):
        calls.append(
            asyncio.ensure_future(_send_call(port, number, output_tokens))
        )
        until_s = began_s + (number + 1) / rate_per_s
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
    results = await asyncio.gather(*calls)
    elapsed_s = time.monotonic() - began_s
    used_s = _read_processor_s(process_id) - before_s
    served = [each for each in results if each.status == 200]
    per_call_ms = 1000.0 * (used_s - idle_share * elapsed_s) / len(results)
    took_ms = sorted(each.took_ms for each in served) or [0.0]
    print(
        f"{rate_per_s:g} a second: {len(served)} of {len(results)} served, "
        f"{per_call_ms:.2f} ms of processor time each, "
        f"{idle_share:.3f} of a core idle, "
        f"{used_s / elapsed_s:.2f} under load, "
        f"median {took_ms[len(took_ms) // 2]:.0f} ms, "
        f"P99 {took_ms[int(0.99 * (len(took_ms) - 1))]:.0f} ms to the end"
    )


async def _send_call(
    port: int, number: int, output_tokens: int
) -> gateway_caller.CallResult:
    caller = soak_caller.KeepAliveCaller(port)
    call = gateway_caller.Call(
        request_id=f"r{number}",
        route=_ROUTE,
        vm="",
        prompt_tokens=5_000,
        output_tokens=output_tokens,
        body=b"request %d" % number,
    )
    try:
        return await caller.send(call)
    finally:
        caller.close()


async def _serve(handler: environment.StreamHandler) -> int:
    server = await asyncio.start_server(handler, _HOST)
    return server.sockets[0].getsockname()[1]


async def _add_engine(
    store: soak_store.SoakStore,
    number: int,
    engines: dict[str, platform_replica.PlatformReplica],
) -> None:
    spec = gateway_cluster.Layout().engine_spec
    replica = platform_replica.PlatformReplica(
        f"engine-{number}", environment.make_system_environment(), spec, engines
    )
    port = await _serve(replica.make_handler())
    engines[f"{_HOST}:{port}"] = replica
    asyncio.ensure_future(replica.engine.run())
    store.store.put(
        f"servers/{replica.name}",
        {
            "service": "engines",
            "address": f"{_HOST}:{port}",
            "zone": f"hall-{number % 3}",
            "slots": spec.slots,
            "state": "ready",
            "sequence": 1,
        },
    )


def _read_processor_s(process_id: int) -> float:
    """Returns the processor time that a process has taken."""
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def main(
    *,
    rate_per_s: float = 40.0,
    duration_s: float = 8.0,
    output_tokens: int = 1_500,
) -> int:
    """Measures one gateway.

    Args:
        rate_per_s: New connections a second, each with one request.
        duration_s: How long they are opened.
        output_tokens: Length of each answer; 46 tokens make an event.
    """
    asyncio.run(_measure(rate_per_s, duration_s, output_tokens))
    return 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
