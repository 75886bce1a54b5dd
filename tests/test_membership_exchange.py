"""Tests of the rate at which routers exchange reports."""

import math

from tests.builders import fleet, virtual_loop


class ExchangeRateTest(virtual_loop.VirtualTimeTestCase):
    """Guards against two calls per period where one exchanges both reports."""

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
        """One call per pair and period keeps all reports recent."""
        before = self.count_exchanges()
        for _ in range(40):
            await self.loop.advance(0.25)
            for name, member in self.fleet.nodes.items():
                direct = member.peer_tracker.direct_reports(self.loop.time())
                self.assertEqual(set(self.fleet.names) - {name}, set(direct))
                for received in direct.values():
                    age_s = self.loop.time() - received.not_before_s
                    self.assertLess(age_s, 1.3)
        # Three pairs for 10 s, and one more call of each pair at both ends.
        self.assertLessEqual(self.count_exchanges() - before, 36)

    async def test_request_of_unknown_age_does_not_replace_call(self) -> None:
        """A peer's request without an echo does not count as an exchange."""
        first, second = (self.fleet.nodes[n] for n in ("vm-0", "vm-1"))
        report = second._reports.build("")
        address = report.inner_address
        await self.loop.advance(5)
        first.peer_exchange._last_request_s.clear()
        first.peer_exchange.process_request(report, -math.inf, address)
        self.assertFalse(first.peer_exchange.has_called_recently(address))
