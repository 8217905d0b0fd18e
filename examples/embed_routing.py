"""Uses a routing policy without any of the programs."""

import random

from ruddergate import environment
from ruddergate import estimate
from ruddergate import own_work
from ruddergate import routing
from ruddergate.fleet import condition
from ruddergate.fleet import target
from ruddergate.settings import effective

_POOL = effective.Pool(
    name="model-pool",
    pool_kind="engine",
    model="m",
    model_version="1",
    adapters="",
    role="both",
    memory_tokens=400_000,
    prefill_tokens_per_s=20_000.0,
    attention_ms_per_m_pairs=0.0,
    decode_ms_per_token=30.0,
    service_concurrency=8,
    exports_kv=True,
    checks_fence=True,
    checks_key=False,
    gang_engines_max=4,
    weight_reads_per_s_max=0.5,
)


def main() -> None:
    """Sends a long prompt and then a short one."""
    engines = [
        estimate.Estimate(
            target.Target(
                f"engine-{number}",
                "model-pool",
                "hall-1",
                environment.Address("127.0.0.1", 9000 + number),
                condition.Condition.LIVE,
            ),
            _POOL,
        )
        for number in range(3)
    ]
    policy = routing.by_name.make_policy("by_length")
    rng = random.Random(1)
    for name, tokens in (("archive", 300_000), ("repair", 1_200)):
        job = routing.job.Job(tokens, tokens, "", 0, tokens > 65_536, 0.0)
        chosen = policy.choose(job, engines, 0.0, rng)
        work = own_work.OwnWork(tokens, tokens, 0.0, 3 if job.is_long else 0)
        chosen.begin_attempt(name, work)
        print(name, "goes to", chosen.target.target_id)


if __name__ == "__main__":
    main()
