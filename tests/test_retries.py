"""Retry budgets: the shares of all VMs stay within the fleet's allowance."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies
import loguru

from ruddergate.decisions import retries
from ruddergate.messages import retry_transfer
from standins import gateway_cluster
from tests import gateway_fixture

_SLACK = 106.0


class BudgetTest(unittest.TestCase):
    def test_all_vms_together_stay_below_half_of_the_slack(self) -> None:
        for vms in (2, 6, 9, 80, 195, 940):
            capacity = retries.compute_capacity(_SLACK, vms)
            self.assertLess(capacity * vms, _SLACK / 2.0)
        # Each VM may have restarted without having reached any other yet.
        sole_capacity = retries.compute_capacity(_SLACK, 1)
        self.assertLess(sole_capacity * 60, _SLACK / 2.0)

    def test_partitions_of_a_fleet_together_stay_below_the_slack(self) -> None:
        partitions = 3
        capacity = retries.compute_capacity(_SLACK, 3)
        self.assertLess(partitions * 3 * capacity, _SLACK)

    def test_tokens_follow_the_capacity(self) -> None:
        budget = retries.Budget(0.15, 0.0, 0.0)
        self.assertFalse(budget.try_spend())
        budget.resize(3.0)
        self.assertEqual(budget.tokens, 3.0)
        self.assertTrue(budget.try_spend())
        budget.resize(5.0)
        self.assertEqual(budget.tokens, 4.0)
        budget.resize(1.0)
        self.assertEqual(budget.tokens, 1.0)

    def test_vms_divide_the_slack_once_they_know_each_other(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await asyncio.sleep(1.1)
            for node in fixture.cluster.vms.values():
                self.assertAlmostEqual(
                    node.gateway.context.budget.capacity,
                    gateway_cluster.RETRY_SLACK * retries.SLACK_SHARE / 9,
                )
            # A VM that restarts while cut off takes a small share.
            node = fixture.cluster.vms["vm-4"]
            fixture.cluster.kill(node)
            cut = gateway_cluster.virtual_network.Cut("vm-4", "")
            fixture.cluster.network.cuts.append(cut)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(1.0)
            self.assertLess(node.gateway.context.budget.capacity, 1.0)

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=9)


class TransferTest(unittest.TestCase):
    """Retries that VMs transfer to each other."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4),
                strategies.integers(0, 4),
                strategies.sampled_from(
                    ["borrow", "borrow large", "lost", "spend", "first"]
                ),
            ),
            max_size=60,
        )
    )
    @hypothesis.settings(max_examples=200, deadline=None)
    def test_transfers_add_no_retries(
        self, actions: list[tuple[int, int, str]]
    ) -> None:
        share = 0.15
        budgets = [retries.Budget(share, 1.06, 1.06) for _ in range(5)]
        allowed = 5 * 1.06
        spent = 0
        for requester, responder, action in actions:
            if action == "spend":
                spent += budgets[requester].try_spend()
            elif action == "first":
                budgets[requester].note_first_attempt()
                allowed += share
            else:
                is_large = action != "borrow"
                transferred = budgets[responder].transfer_out(0.7, is_large)
                if action != "lost":
                    budgets[requester].receive_transfer(transferred)
            left = sum(each.tokens for each in budgets)
            self.assertLessEqual(spent + left, allowed + 1e-9)
            self.assertGreaterEqual(min(e.tokens for e in budgets), 0.0)

    def test_transfers_for_short_prompts_leave_a_reserve(self) -> None:
        budget = retries.Budget(0.15, 1.0, 1.0)
        self.assertEqual(budget.transfer_out(1.0, False), 0.5)
        self.assertEqual(budget.transfer_out(1.0, False), 0.0)
        self.assertEqual(budget.transfer_out(1.0, True), 0.5)

    def test_excessive_transfer_is_rejected(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            exchange = fixture.cluster.vms["vm-0"].gateway._peers
            (peer,) = exchange.find_hall_peers()
            responder = fixture.cluster.vms[peer.partition(":")[0]].gateway
            responder._peers.rpc._handle_request = lambda request: (
                retry_transfer.RetryTransferReply(
                    request.correlation_id, 1_000.0
                )
            )
            transferred = await exchange.rpc.request_retries(peer, 1.0, True)
            self.assertEqual(transferred, 0.0)

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=2, halls=1)

    def test_prompt_refused_in_a_burst_is_retried(self) -> None:
        """One VM gets all that fails; its peers have retries to transfer."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            def stop_refusals(record: dict) -> bool:
                if record["message"].startswith("Attempt failed"):
                    fixture.inject_faults("engine", refuse=0.0)
                return False

            loguru.logger.add(lambda _: None, filter=stop_refusals)
            budget = fixture.cluster.vms["vm-0"].gateway.context.budget
            for _ in range(4):
                # Whichever engine gets the first attempt refuses it.
                fixture.inject_faults("engine", refuse=1.0)
                budget.tokens = 0.0
                result = await fixture.call("long", prompt_tokens=100_000)
                self.assertEqual(result.status, 200)
                self.assertEqual(len(fixture.find_runs(result)), 1)

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=6, halls=1, engines=8)
        loguru.logger.remove()

    def test_vm_that_is_cut_off_does_not_wait_for_transfers(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            gateway = fixture.cluster.vms["vm-0"].gateway
            gateway.context.budget.tokens = 0.0
            cut = gateway_cluster.virtual_network.Cut("vm-0", "")
            fixture.cluster.network.cuts.append(cut)
            began_ms = gateway.context.env.now_ms()
            self.assertFalse(await gateway.context.ensure_retry(True))
            took_ms = gateway.context.env.now_ms() - began_ms
            self.assertLess(took_ms, 150.0)

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=6, halls=1)
