"""Measures the cost of merging the other VMs' digests.

`python -m standins.digest_cost` has one VM of a large fleet merge the bundles
that a relay forwards. It counts function calls, which are the same on every
machine; the time is that of this machine.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
import sys
import time

from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band
from ruddergate.decisions import peer_groups
from ruddergate.decisions import peer_loads
from ruddergate.fleet import dispatched
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.wire import codec

VMS = 195
TARGETS = 150
_DIGESTS_PER_BUNDLE = 24
# Targets on which a VM has work, one row of its digest each.
_ROWS = 3
# Rows that change between two digests of a VM.
_CHANGED_ROWS = 1
_ROUNDS = 20
_SEED = 1


def make_datagrams(rounds: int = _ROUNDS) -> list[bytes]:
    """Returns the datagrams that a relay forwards in some rounds.

    They are the same at every call.
    """
    rng = random.Random(_SEED)
    rows = {vm: _draw_rows(rng, _ROWS) for vm in range(VMS)}
    datagrams: list[bytes] = []
    for number in range(rounds):
        digests = []
        for vm in range(VMS):
            kept = rows[vm][_CHANGED_ROWS:]
            rows[vm] = (*kept, *_draw_rows(rng, _CHANGED_ROWS))
            digests.append(
                load_digest.LoadDigest(
                    f"10.0.0.{vm}:7340",
                    f"hall-{vm % 5}",
                    100,
                    f"{vm:012x}",
                    number,
                    rows[vm],
                )
            )
        for begin in range(0, VMS, _DIGESTS_PER_BUNDLE):
            part = tuple(digests[begin : begin + _DIGESTS_PER_BUNDLE])
            bundle = load_bundle.LoadBundle("10.0.0.1:7340", False, part)
            datagrams.append(codec.encode(bundle))
    return datagrams


def _draw_rows(
    rng: random.Random, count: int
) -> tuple[dispatched.Dispatched, ...]:
    return tuple(
        dispatched.Dispatched(
            f"i-{rng.randrange(TARGETS):010x}",
            (5_000, *[0] * (length_band.BANDS - 1)),
            rng.randrange(5_000, 400_000),
            rng.randrange(1, 5),
            (1, *[0] * (gap_class.CLASSES - 1)),
            rng.uniform(0.0, 900.0),
        )
        for _ in range(count)
    )


def merge_datagrams(datagrams: Iterable[bytes]) -> int:
    """Merges datagrams on one VM; returns how many digests were new."""
    attributes = peer_groups.VmAttributes("hall-0", 100)
    loads = peer_loads.PeerLoads("10.0.0.0:7340", attributes)
    new_count = 0
    for data in datagrams:
        for digest in codec.decode(data).digests:
            new_count += loads.merge(digest, 0.0)
        loads.collect_sums()
    return new_count


def count_calls(work: Callable[[], object]) -> int:
    """Returns how many functions, Python or C, are called by `work`."""
    calls = 0

    def count_event(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count_event)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


def main() -> None:
    """Prints function calls and microseconds per digest."""
    datagrams = make_datagrams()
    start_s = time.process_time()
    new_count = merge_datagrams(datagrams)
    took_s = time.process_time() - start_s
    calls = count_calls(lambda: merge_datagrams(datagrams))
    size = sum(map(len, datagrams))
    print(f"{new_count} new digests, {size / new_count:.0f} bytes each")
    print(
        f"{calls / new_count:.0f} calls, {took_s / new_count * 1e6:.1f} us each"
    )


if __name__ == "__main__":
    main()
