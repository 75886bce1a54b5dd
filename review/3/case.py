"""A change of the configuration while stale reads are seconds old."""

import asyncio
import pathlib

from standins import deployment

_RECORD = pathlib.Path(__file__).with_name("record.txt")
_OLD_SERVICE = "office-app"
_NEW_SERVICE = "office-app-b"
_KEPT_KEY = "n2ctnfzs989anu6wsjnb"
_DROPPED_KEY = "anfqasnmgkcuyj8pjbvk"
_PATH = "/stock/2f"
_NODES = 3
_RATE_PER_S = 20.0
_LAG_AT_S = 6.0
_CHANGE_AT_S = 9.0
_END_S = 16.0
# Age of stale reads that `fleetbench kinds` names.
_LAG_S = 3.0


def _build(version: int, service: str, keys: list[str]) -> dict[str, object]:
    routes = [deployment.build_route("stock", service, "idempotent")]
    found = deployment.build_configuration(version, routes, keys)
    found["services"] = [
        found["services"][0] | {"name": name}
        for name in (_OLD_SERVICE, _NEW_SERVICE)
    ]
    return found


async def _run() -> int:
    async with deployment.open_deployment() as case:
        keys = [_KEPT_KEY, _DROPPED_KEY]
        case.store.put("config", "main", _build(7, _OLD_SERVICE, keys))
        for number in range(3):
            await case.add_runner(f"i-a-{number}", _OLD_SERVICE)
            await case.add_runner(f"i-b-{number}", _NEW_SERVICE)
        await case.start_nodes(_NODES)
        for key in keys:
            case.spawn(
                case.load(_RATE_PER_S, _END_S, _PATH, key=key, method="GET")
            )
        # Ordinary changes, as on any day: runners come.
        await asyncio.sleep(2.0)
        await case.add_runner("i-a-3", _OLD_SERVICE)
        await asyncio.sleep(2.0)
        await case.add_runner("i-b-3", _NEW_SERVICE)
        await asyncio.sleep(_LAG_AT_S - 4.0)
        if deployment.HAS_TROUBLE:
            case.store.lag_s = _LAG_S
            case.note(f"reads that allow stale data are {_LAG_S} s old")
        await asyncio.sleep(_CHANGE_AT_S - _LAG_AT_S)
        changed_s = case.store.put(
            "config", "main", _build(9, _NEW_SERVICE, [_KEPT_KEY])
        )
        case.note(
            "the store acknowledges version 9: another service, one key less"
        )
        await asyncio.sleep(_END_S - _CHANGE_AT_S + 2.0)
        verdict = _judge(case, changed_s)
        case.write_record(_RECORD)
        return verdict


def _judge(case: deployment.Deployment, changed_s: float) -> int:
    bound_s = changed_s + deployment.BOUNDS["configApplyMs"] / 1_000
    services = {
        arrival.request_id: arrival.service
        for arrival in case.arrivals
        if arrival.has_run
    }
    after = [sent for sent in case.sent if sent.at_s > bound_s]
    old_service = [
        sent for sent in after if services.get(sent.request_id) == _OLD_SERVICE
    ]
    dropped_key = [
        sent
        for sent in after
        if sent.key == _DROPPED_KEY and sent.request_id in services
    ]
    latest_s = max(
        (sent.at_s - changed_s for sent in old_service + dropped_key),
        default=0.0,
    )
    text = (
        f"requests sent later than configApplyMs: {len(after)}; run by the "
        f"old service: {len(old_service)}; run with the dropped key: "
        f"{len(dropped_key)}; the last of them {latest_s:.2f} s after the "
        "acknowledgement"
    )
    case.note(text)
    print(text)
    is_broken = bool(old_service or dropped_key)
    return deployment.BROKEN if is_broken else deployment.HELD


deployment.run_case(_run())
