"""Tests of how often routers exchange reports."""

import math

from tests.builders import fleet, virtual_loop


class ExchangeRateTest(virtual_loop.VirtualTimeTestCase):
    """Guards against two calls where one exchanges both reports."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = fleet.Fleet(3)
        self.addAsyncCleanup(self.fleet.stop)
        for name in self.fleet.names:
            await self.fleet.start(name)
            await self.loop.advance(0.3)
        await self.loop.advance(3)

    def count_exchanges(self) -> int:
        return sum(
            counters.total("exchange.answered")
            for counters in self.fleet.counters.values()
        )

    async def test_one_call_per_pair_and_period(self) -> None:
        before = self.count_exchanges()
        for _ in range(40):
            await self.loop.advance(0.25)
            for name, member in self.fleet.nodes.items():
                heard = member.peer_tracker.direct_reports(self.loop.time())
                self.assertEqual(set(self.fleet.names) - {name}, set(heard))
                for contact in heard.values():
                    age_s = self.loop.time() - contact.not_before_s
                    self.assertLess(age_s, 1.3)
        # Three pairs for ten seconds, and a call more at either end.
        self.assertLessEqual(self.count_exchanges() - before, 36)

    async def test_call_of_unknown_age_is_answered_with_a_call(self) -> None:
        first, second = (self.fleet.nodes[n] for n in ("vm-0", "vm-1"))
        report = second._reports.build("")
        address = report.inner_address
        await self.loop.advance(5)
        first.peer_exchange._last_request_s.clear()
        first.peer_exchange.process_request(report, -math.inf, address)
        self.assertFalse(first.peer_exchange.has_called_recently(address))
