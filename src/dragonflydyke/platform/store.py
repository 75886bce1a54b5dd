"""Client of the platform's metadata store."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any, Generic, TypeVar
from urllib import parse

from tornado import httpclient

from dragonflydyke import errors, logs, metrics, settings
from dragonflydyke.forwarding import (
    controller,
    quarantine,
    registry,
    rollouts,
)
from dragonflydyke.objects import documents, model, pages, store_http
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


_Item = TypeVar("_Item")


@dataclasses.dataclass(slots=True, frozen=True)
class _StorePage(Generic[_Item]):
    """A page of a list or of changes.

    Attributes:
        entries: What was read of each item.
        version: Version of the store.
        has_more: Whether the list goes on after this page.
    """

    entries: list[_Item]
    version: int
    has_more: bool


@dataclasses.dataclass(slots=True, frozen=True)
class _Event:
    """A change of an object.

    Attributes:
        entry: The object with its record, None if it has no name.
        is_removal: Whether the object was removed.
    """

    entry: model.StoredObject | None
    is_removal: bool


class PlatformStore:
    """Client of the metadata store; raises the errors of `objects.model`."""

    __slots__ = ("_caller", "_decode")

    def __init__(
        self,
        base_url: str,
        counters: metrics.Counters,
        *,
        max_silence_s: float = store_http.DEFAULT_MAX_SILENCE_S,
        decode: Callable[[model.StoredObject], model.StoredObject]
        | None = None,
    ) -> None:
        """Creates a client.

        Args:
            base_url: URL of the store without a path.
            counters: Receives `platform.<method>.<outcome>`.
            max_silence_s: Seconds after which a connection that went silent
                during a long poll is closed.
            decode: Returns an object with what is kept of its value, None to
                keep its record.
        """
        self._caller = store_http.StoreHttpClient(
            base_url,
            parse.urlsplit(base_url).netloc,
            counters,
            timeout_s=_TIMEOUT_S,
            era_header=_ERA_HEADER,
            max_silence_s=max_silence_s,
        )
        self._decode = decode or records.RecordDecoder().decode

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
            page = self._read_items(kind, response)
            entries = [entry for entry in page.entries if entry is not None]
            found.extend(entries)
            versions.append(page.version)
            if not page.has_more or not entries:
                return model.ObjectList(min(versions), tuple(found))
            parameters["after"] = entries[-1].name

    async def read_version(self, kind: str) -> int:
        """Returns the current version of the store, by reading a small kind."""
        response = await self._read(_PATH + kind)
        return self._read_items(kind, response).version

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
        page = self._read_events(kind, response)
        newest: dict[str, model.StoredObject | None] = {}
        for event in page.entries:
            if event.entry is not None:
                entry = None if event.is_removal else event.entry
                newest[event.entry.name] = entry
        return model.ObjectChanges(
            page.version,
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
        written = _parse_object(entry.kind, body, era)
        return records.build_stored_rollout(written, stored.order, progress)

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
        nodes = (entry.value for entry in listed.objects)
        return tuple(node for node in nodes if node is not None)

    async def remove_node(self, name: str) -> None:
        """Removes the entry of a node; does nothing if there is none."""
        await self._remove(f"{_PATH}{records.NODE_KIND}/{_quote(name)}")

    def _read_items(
        self, kind: str, response: httpclient.HTTPResponse
    ) -> _StorePage[model.StoredObject | None]:
        """Returns a page of a list; entries without a name are None."""
        era = self._caller.find_era(response)
        return self._read_page(
            response, "items", lambda item: self._read_entry(kind, item, era)
        )

    def _read_events(
        self, kind: str, response: httpclient.HTTPResponse
    ) -> _StorePage[_Event]:
        era = self._caller.find_era(response)

        def read_event(item: Any) -> _Event:
            fields = _find_members(item)
            changed = fields.get("object")
            if isinstance(item, pages.UnreadableItem):
                changed = pages.UnreadableItem(_find_members(changed))
            entry = self._read_entry(kind, changed, era)
            return _Event(entry, is_removal=bool(fields.get("removed")))

        return self._read_page(response, "events", read_event)

    def _read_page(
        self,
        response: httpclient.HTTPResponse,
        items_name: str,
        convert: Callable[[Any], _Item],
    ) -> _StorePage[_Item]:
        """Returns a page with a list of items and the store's revision.

        Raises:
            PlatformUnavailableError: If the response is something else.
        """
        page = pages.read_page(
            response.body, items_name, convert, peer=self._caller.peer
        )
        revision = page.members.get("storeRevision")
        if page.items is None or not isinstance(revision, int):
            raise model.PlatformUnavailableError(
                f"response has no {items_name} or no revision",
                step=errors.Step.READ_PLATFORM,
                peer=self._caller.peer,
            )
        era = self._caller.find_era(response)
        return _StorePage(
            page.items,
            model.combine_version(era, revision),
            has_more=bool(page.members.get("more")),
        )

    def _read_entry(
        self, kind: str, item: Any, era: int
    ) -> model.StoredObject | None:
        """Returns an object with its record, None if it has no name."""
        try:
            entry = _parse_object(kind, item, era)
        except records.DECODING_ERRORS as error:
            _LOGGER.info(
                "stored object is malformed",
                kind=kind,
                error=records.describe_error(error),
            )
            entry = _parse_name(kind, item, era)
            if entry is None or kind not in records.KINDS_BY_NAME:
                return entry
        return self._decode(entry)

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
        return records.read_rollout(_parse_object(kind, item, era))
    except records.DECODING_ERRORS as error:
        _LOGGER.warning(
            "stored rollout cannot be decoded",
            error=records.describe_error(error),
        )
        return None


def _quote(name: str) -> str:
    return parse.quote(name, safe="")


def _find_members(item: Any) -> dict[str, Any]:
    """Returns the members of an item as far as they can be read."""
    if isinstance(item, pages.UnreadableItem):
        return item.members
    return item if isinstance(item, dict) else {}


def _parse_name(kind: str, item: Any, era: int) -> model.StoredObject | None:
    """Returns an object of which only the name can be read, if it can."""
    try:
        name = records.require_text(_find_members(item)["metadata"]["name"])
    except records.DECODING_ERRORS:
        return None
    return model.StoredObject(kind, name, model.combine_version(era, 0), None)


def _parse_object(kind: str, item: Any, era: int) -> model.StoredObject:
    """Returns an object; raises one of records.DECODING_ERRORS."""
    if isinstance(item, pages.UnreadableItem):
        raise ValueError("not JSON")
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
