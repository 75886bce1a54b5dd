"""Client of the platform's metadata store."""

import json
from collections.abc import Callable
from typing import Any
from urllib import parse

from tornado import httpclient

from dragonflydyke import errors, logs, metrics, settings
from dragonflydyke.forwarding import (
    controller,
    quarantine,
    registry,
    rollouts,
)
from dragonflydyke.objects import documents, model, store_http
from dragonflydyke.platform import records

_PATH = "/api/objects/"
_TIMEOUT_S = 1.0
_MS_PER_S = 1_000
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TOO_MANY_CALLS = 429
_UNAVAILABLE = 503
# Statuses of calls that the store rejected without executing them.
_REJECTED_STATUSES = (_UNAVAILABLE, _TOO_MANY_CALLS)
# A stale read costs a tenth of a linearizable one and counts toward no rate.
_STALE_PARAMETERS = {"allowStale": 1}
_JSON_HEADERS = {"Content-Type": "application/json"}
_ERA_HEADER = "Store-Era"

_LOGGER = logs.get_logger("store")


class PlatformStore:
    """Client of the metadata store; raises the errors of `objects.model`."""

    __slots__ = ("_caller",)

    def __init__(
        self,
        base_url: str,
        counters: metrics.Counters,
        *,
        max_silence_s: float = store_http.DEFAULT_MAX_SILENCE_S,
    ) -> None:
        """Creates a client.

        Args:
            base_url: URL of the store without a path.
            counters: Receives `platform.<method>.<outcome>`.
            max_silence_s: Seconds after which a connection that went silent
                during a long poll is closed.
        """
        self._caller = store_http.StoreHttpClient(
            base_url,
            parse.urlsplit(base_url).netloc,
            counters,
            timeout_s=_TIMEOUT_S,
            era_header=_ERA_HEADER,
            max_silence_s=max_silence_s,
        )

    @property
    def era(self) -> int:
        """Newest era that the store stated; it rises with each restore."""
        return self._caller.era

    async def list_all(
        self, kind: str, *, consistency: model.ReadConsistency
    ) -> model.ObjectList:
        """Returns all objects of a kind, which are read page by page.

        The version is the oldest of all pages, which may come from different
        replicas, so that a watch from it repeats the changes that happened
        between the pages.
        """
        found: list[model.StoredObject] = []
        versions = []
        parameters: dict[str, object] = {}
        if consistency is model.ReadConsistency.STALE:
            parameters |= _STALE_PARAMETERS
        while True:
            query = f"?{parse.urlencode(parameters)}" if parameters else ""
            response = await self._read(_PATH + kind + query)
            era = self._caller.find_era(response)
            page = self._parse_page(response, "items")
            entries = _decode_all(kind, page["items"], era)
            found.extend(entries)
            versions.append(model.combine_version(era, page["storeRevision"]))
            if not page.get("more") or not entries:
                return model.ObjectList(min(versions), tuple(found))
            parameters["after"] = entries[-1].name

    async def read_version(self, kind: str) -> int:
        """Returns the current version of the store, by reading a small kind."""
        response = await self._read(_PATH + kind)
        revision = self._parse_page(response, "items")["storeRevision"]
        return model.combine_version(self._caller.find_era(response), revision)

    async def watch(
        self,
        kind: str,
        since: int,
        wait_s: float,
        *,
        consistency: model.ReadConsistency,
        on_start: Callable[[], None] = lambda: None,
    ) -> model.ObjectChanges:
        """Returns the changes after a version; waits up to `wait_s` for one.

        Calls `on_start` when the response begins to arrive.

        Raises:
            HistoryLostError: If the store does not have these changes.
        """
        parameters: dict[str, object] = {
            "watch": model.find_revision(since),
            "waitMs": int(wait_s * _MS_PER_S),
        }
        if consistency is model.ReadConsistency.STALE:
            parameters |= _STALE_PARAMETERS
        query = parse.urlencode(parameters)
        response = await self._caller.call(
            store_http.StoreMethod.GET,
            f"{_PATH}{kind}?{query}",
            expected_statuses=(_OK, _GONE),
            rejected_statuses=_REJECTED_STATUSES,
            wait_s=wait_s,
            on_start=on_start,
        )
        era = self._caller.find_era(response)
        if response.code == _GONE or era != model.find_era(since):
            raise model.HistoryLostError(kind, since, peer=self._caller.peer)
        page = self._parse_page(response, "events")
        newest: dict[str, model.StoredObject | None] = {}
        for event in page["events"]:
            entry = _decode_or_skip(kind, event.get("object"), era)
            if entry is not None:
                newest[entry.name] = None if event.get("removed") else entry
        return model.ObjectChanges(
            model.combine_version(era, page["storeRevision"]),
            tuple(entry for entry in newest.values() if entry is not None),
            tuple(name for name, entry in newest.items() if entry is None),
        )

    async def probe(self, kind: str) -> None:
        """Reads a page of a kind, possibly from a replica that lags behind."""
        await self._read(f"{_PATH}{kind}?{parse.urlencode(_STALE_PARAMETERS)}")

    async def write_progress(
        self, stored: controller.StoredRollout, progress: rollouts.Progress
    ) -> controller.StoredRollout:
        """Replaces the status of a rollout if its object is unchanged.

        Raises:
            RolloutChangedError: If the object was changed.
            ConflictError: If the object was removed, or if the store was
                restored from a copy since the object was read.
        """
        entry = stored.entry
        self._caller.check_era(entry.kind, entry.name, entry.version)
        revision = model.find_revision(entry.version)
        body = {
            "metadata": {"name": entry.name, "rev": revision},
            "status": records.write_progress(progress),
        }
        response = await self._write(
            store_http.StoreMethod.PUT,
            f"{_PATH}{entry.kind}/{_quote(entry.name)}/status",
            body,
        )
        peer = self._caller.peer
        era = self._caller.find_era(response)
        if response.code == _CONFLICT:
            body = documents.parse_document(response.body, peer=peer)
            current = _read_rollout(entry.kind, body, era)
            if current is not None:
                raise controller.RolloutChangedError(current, peer=peer)
        if response.code != _OK:
            raise model.ConflictError(entry.kind, entry.name, None, peer=peer)
        body = documents.parse_document(response.body, peer=peer)
        written = _decode(entry.kind, body, era)
        return controller.StoredRollout(written, stored.order, progress)

    async def write_crash(self, report: quarantine.CrashReport) -> int:
        """Stores a crash report unless the store has it already.

        Returns:
            Era in which the store has the report.
        """
        body = {
            "metadata": {"name": report.name},
            "spec": records.write_crash(report),
        }
        response = await self._create(records.KINDS.crashes, body)
        return self._caller.find_era(response)

    async def remove_crash(self, report: quarantine.CrashReport) -> None:
        """Removes a crash report; does nothing if the store has none."""
        await self._remove(f"{_PATH}{records.KINDS.crashes}/{report.name}")

    async def write_node(
        self, name: str, heartbeat: int, address: settings.Address
    ) -> None:
        """Creates or replaces the entry of a node."""
        spec = {"heartbeat": heartbeat, "address": str(address)}
        body = {"metadata": {"name": name}, "spec": spec}
        kind = records.NODE_KIND
        if heartbeat == 1:
            # Mostly there is no entry yet, and each rejected call is priced.
            response = await self._create(kind, body)
            if response.code != _CONFLICT:
                return
        response = await self._write(
            store_http.StoreMethod.PUT, f"{_PATH}{kind}/{_quote(name)}", body
        )
        if response.code == _NOT_FOUND:
            await self._create(kind, body)

    async def list_nodes(self) -> tuple[registry.ListedNode, ...]:
        """Returns the entries of all nodes, possibly some seconds old."""
        listed = await self.list_all(
            records.NODE_KIND, consistency=model.ReadConsistency.STALE
        )
        return tuple(
            registry.ListedNode(
                entry.name, entry.version, _read_peer_address(entry.value)
            )
            for entry in listed.objects
        )

    async def remove_node(self, name: str) -> None:
        """Removes the entry of a node; does nothing if there is none."""
        await self._remove(f"{_PATH}{records.NODE_KIND}/{_quote(name)}")

    def _parse_page(
        self, response: httpclient.HTTPResponse, items_field: str
    ) -> dict[str, Any]:
        """Returns a page with a list of items and the store's revision.

        Raises:
            PlatformUnavailableError: If the response is something else.
        """
        page = documents.parse_document(response.body, peer=self._caller.peer)
        if (
            not isinstance(page, dict)
            or not isinstance(page.get(items_field), list)
            or not isinstance(page.get("storeRevision"), int)
        ):
            raise model.PlatformUnavailableError(
                f"response has no {items_field} or no revision",
                step=errors.Step.READ_PLATFORM,
                peer=self._caller.peer,
            )
        return page

    async def _create(self, kind: str, body: Any) -> httpclient.HTTPResponse:
        """Creates an object unless it exists, as an earlier call created it."""
        return await self._write(
            store_http.StoreMethod.POST,
            _PATH + kind,
            body,
            (_OK, _CREATED, _CONFLICT),
        )

    async def _write(
        self,
        method: store_http.StoreMethod,
        path: str,
        body: Any,
        expected_statuses: tuple[int, ...] = (_OK, _CONFLICT, _NOT_FOUND),
    ) -> httpclient.HTTPResponse:
        return await self._caller.call(
            method,
            path,
            expected_statuses=expected_statuses,
            rejected_statuses=_REJECTED_STATUSES,
            headers=_JSON_HEADERS,
            body=json.dumps(body),
        )

    async def _remove(self, path: str) -> None:
        await self._caller.call(
            store_http.StoreMethod.DELETE,
            path,
            expected_statuses=(_OK, _NOT_FOUND),
            rejected_statuses=_REJECTED_STATUSES,
        )

    async def _read(self, path: str) -> httpclient.HTTPResponse:
        return await self._caller.call(
            store_http.StoreMethod.GET,
            path,
            expected_statuses=(_OK,),
            rejected_statuses=_REJECTED_STATUSES,
        )


def _read_rollout(
    kind: str, item: Any, era: int
) -> controller.StoredRollout | None:
    """Returns the rollout in a response, None if it cannot be decoded."""
    try:
        return records.read_rollout(_decode(kind, item, era))
    except records.DECODING_ERRORS as error:
        _LOGGER.warning("stored rollout cannot be decoded", error=repr(error))
        return None


def _read_peer_address(spec: Any) -> settings.Address | None:
    """Returns the address of a node, None if its entry states none."""
    text = spec.get("address") if isinstance(spec, dict) else None
    try:
        return settings.parse_address(text) if isinstance(text, str) else None
    except ValueError as error:
        _LOGGER.info("address of a node is malformed", error=str(error))
        return None


def _quote(name: str) -> str:
    return parse.quote(name, safe="")


def _decode_all(
    kind: str, items: list[Any], era: int
) -> list[model.StoredObject]:
    """Returns the objects in a list, without those that are malformed."""
    found = (_decode_or_skip(kind, item, era) for item in items)
    return [entry for entry in found if entry is not None]


def _decode_or_skip(
    kind: str, item: Any, era: int
) -> model.StoredObject | None:
    try:
        return _decode(kind, item, era)
    except records.DECODING_ERRORS as error:
        _LOGGER.info("stored object is malformed", kind=kind, error=repr(error))
        if kind in records.KINDS_BY_NAME:
            return _decode_name(kind, item, era)
        return None


def _decode_name(kind: str, item: Any, era: int) -> model.StoredObject | None:
    """Returns an object of which only the name can be decoded, if it can."""
    try:
        name = records.require_text(item["metadata"]["name"])
    except records.DECODING_ERRORS:
        return None
    return model.StoredObject(kind, name, model.combine_version(era, 0), None)


def _decode(kind: str, item: Any, era: int) -> model.StoredObject:
    metadata = item["metadata"]
    return model.StoredObject(
        kind=kind,
        name=records.require_text(metadata["name"]),
        version=model.combine_version(
            era, int(records.require_number(metadata.get("rev", 0)))
        ),
        value=item.get("spec"),
        status=item.get("status"),
    )
