"""A rollout whose order reaches no node, as the answer to a watch is lost."""

import asyncio
import pathlib

from standins import deployment, http, runners
from standins import store as stores

_RECORD = pathlib.Path(__file__).with_name("record.txt")
_SERVICE = "office-app"
_KEY = "n2ctnfzs989anu6wsjnb"
_PATH = "/stock/2f"
_NODES = 3
_RATE_PER_S = 40.0
_ORDER_S = 1.0
_RAMP_S = 16.0
_LOST_FOR_S = 4.5
# Largest share of the store's answers that the site file lets be lost.
_MAX_LOST_SHARE = 0.35
_FAILING_SHARE = 0.25


def _make_bad(runner: runners.Runner) -> None:
    """Makes a runner fail a share of its requests after their work."""
    counter = iter(range(1_000_000))

    async def behave(
        request: http.Request,
        arrival: runners.Arrival,
        writer: asyncio.StreamWriter,
    ) -> bool:
        del request
        if next(counter) % round(1 / _FAILING_SHARE):
            return False
        arrival.has_run = True
        await asyncio.sleep(0.06)
        runner.answer(writer, arrival, 500, b"failed")
        return True

    runner.behave = behave


def _lose_order(store: stores.Store) -> None:
    """Loses each node's answer to the watch that tells the order."""

    def loses(call: stores.Call) -> bool:
        is_first = len(store.lost) < _NODES
        told = call.kind == "rollouts" and call.is_watch and call.events > 0
        return told and is_first

    store.loses = loses


async def _run() -> int:
    async with deployment.open_deployment() as case:
        routes = [deployment.build_route("stock", _SERVICE, "idempotent")]
        case.store.put(
            "config",
            "main",
            deployment.build_configuration(7, routes, [_KEY]),
        )
        for number in range(3):
            await case.add_runner(f"i-old-{number}", _SERVICE)
        await case.start_nodes(_NODES)
        load = case.spawn(
            case.load(
                _RATE_PER_S,
                _ORDER_S + _RAMP_S,
                _PATH,
                key=_KEY,
                method="GET",
            )
        )
        await asyncio.sleep(_ORDER_S / 2)
        # The new runners are started alongside the old ones.
        new = [
            await case.add_runner(f"i-new-{number}", _SERVICE, version="v2")
            for number in range(3)
        ]
        for runner in new:
            _make_bad(runner)
        await asyncio.sleep(_ORDER_S / 2)
        if deployment.HAS_TROUBLE:
            _lose_order(case.store)
        ordered_s = case.store.put(
            "rollouts",
            _SERVICE,
            {"service": _SERVICE, "target": "v2", "rampS": _RAMP_S},
        )
        case.note(f"the store acknowledges the order of {_SERVICE} v2")
        await load
        await asyncio.sleep(2.0)
        verdict = _judge(case, ordered_s)
        case.write_record(_RECORD)
        return verdict


def _judge(case: deployment.Deployment, ordered_s: float) -> int:
    until_s = ordered_s + _RAMP_S
    for at_s, call in case.store.lost:
        case.note(f"lost: an answer of the store on {call.kind}")
        print(f"lost at {at_s - ordered_s:.3f} s after the order: {call.kind}")
    window = [
        at_s
        for at_s, _ in case.store.answered
        if ordered_s <= at_s <= ordered_s + _LOST_FOR_S
    ]
    lost = len(case.store.lost)
    share = lost / (lost + len(window))
    in_touch_s = ordered_s
    if lost:
        last_s = max(at_s for at_s, _ in case.store.lost)
        in_touch_s = last_s + deployment.BOUNDS["contactMs"] / 1_000
    reached = [
        arrival
        for arrival in case.arrivals
        if ordered_s <= arrival.at_s <= until_s
    ]
    bad = [
        arrival
        for arrival in reached
        if arrival.version == "v2" and arrival.at_s >= in_touch_s
    ]
    limit = (
        deployment.BOUNDS["exposureShare"] * len(reached)
        + deployment.BOUNDS["exposureSlack"]
    )
    status = (case.store.read("rollouts", _SERVICE) or {}).get("status") or {}
    text = (
        f"answers lost: {lost}, {share:.2f} of those in {_LOST_FOR_S} s; "
        f"requests that reached the service: {len(reached)}; to the bad "
        f"version from machines in touch: {len(bad)}; allowed: {limit:.0f}; "
        f"state at the end: {status.get('state')}"
    )
    case.note(text)
    print(text)
    if share > _MAX_LOST_SHARE:
        return deployment.NOT_RUN
    return deployment.BROKEN if len(bad) > limit else deployment.HELD


deployment.run_case(_run())
