"""HTTP client of the platform's object API."""

import dataclasses
import json
from typing import Any, Protocol
from urllib import parse

from tornado import httpclient

from dragonflydyke import logs, metrics
from dragonflydyke.objects import documents, model, store_http

DEFAULT_TIMEOUT_S = 1.0
ERA_HEADER = "Object-Store-Era"
_OK = 200
_CONFLICT = 409
_NOT_FOUND = 404
_GONE = 410
_TOO_LARGE = 413

_LOGGER = logs.get_logger("store")


class ObjectStore(Protocol):
    """The platform's object API, as the routers require it."""

    async def get(self, kind: str, name: str) -> model.StoredObject | None:
        """Returns an object, or None if it does not exist."""

    async def create(
        self, kind: str, name: str, value: Any
    ) -> model.StoredObject:
        """Creates an object; raises ConflictError if it exists."""

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> model.StoredObject:
        """Replaces an object; raises ConflictError if its version differs."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object; raises ConflictError if its version differs."""

    async def list(
        self, kind: str, *, since: int = 0, prefix: str = "", limit: int = 0
    ) -> model.ObjectList:
        """Returns the objects of a kind that are newer than a version.

        Raises:
            HistoryLostError: If the platform does not have the version, as it
                was restored from a copy.
        """

    async def list_vms(self) -> model.VmList:
        """Returns the platform's list of VMs."""


class ObjectClient:
    """Client of the object API over HTTP.

    All methods raise PlatformUnavailableError if the platform did not execute
    the call. Writes raise ConflictError if their condition does not hold and
    OutcomeUnknownError if they were sent but the response was lost.
    """

    __slots__ = ("_store_http",)

    def __init__(
        self,
        base_url: str,
        *,
        counters: metrics.Counters,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Creates a client.

        Args:
            base_url: URL of the object API without a path.
            counters: Receives `platform.<method>.<outcome>`.
            timeout_s: Timeout of a call in seconds.
        """
        self._store_http = store_http.StoreHttpClient(
            base_url,
            parse.urlsplit(base_url).netloc,
            counters,
            timeout_s=timeout_s,
            era_header=ERA_HEADER,
        )

    async def get(self, kind: str, name: str) -> model.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        response = await self._call(
            store_http.StoreMethod.GET, _path(kind, name)
        )
        if response.code == _NOT_FOUND:
            return None
        return self._parse(response)

    async def create(
        self, kind: str, name: str, value: Any
    ) -> model.StoredObject:
        """Creates an object.

        Returns:
            The created object.

        Raises:
            ConflictError: If the object exists.
            ObjectTooLargeError: If the value is too large for the platform.
        """
        return await self._put(kind, name, value, {"If-None-Match": "*"})

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> model.StoredObject:
        """Replaces an object.

        Returns:
            The object with its new version.

        Raises:
            ConflictError: If the object does not have the given version, which
                it never has after the platform was restored from a copy.
            ObjectTooLargeError: If the value is too large for the platform.
        """
        headers = self._build_condition(kind, name, version)
        return await self._put(kind, name, value, headers)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object; does nothing if it does not exist.

        Raises:
            ConflictError: If the object does not have the given version.
        """
        response = await self._call(
            store_http.StoreMethod.DELETE,
            _path(kind, name),
            self._build_condition(kind, name, version),
        )
        if response.code == _CONFLICT:
            raise self._conflict(kind, name, response)

    async def list(
        self, kind: str, *, since: int = 0, prefix: str = "", limit: int = 0
    ) -> model.ObjectList:
        """Returns the objects of a kind that are newer than a version.

        Args:
            kind: Kind of the objects.
            since: Version of the store after which objects are listed.
            prefix: Prefix of the names.
            limit: Maximum number of objects, 0 for all.

        Raises:
            HistoryLostError: If the platform does not have the version, as it
                was restored from a copy.
        """
        query = parse.urlencode(
            {
                "since": model.find_revision(since),
                "prefix": prefix,
                "limit": limit,
            }
        )
        path = f"/v1/objects/{parse.quote(kind, safe='')}?{query}"
        response = await self._call(store_http.StoreMethod.GET, path)
        era = self._store_http.find_era(response)
        if response.code == _GONE or (since and era != model.find_era(since)):
            raise model.HistoryLostError(
                kind, since, peer=self._store_http.peer
            )
        body = self._parse_document(response)
        return model.ObjectList(
            version=model.combine_version(era, body["version"]),
            objects=tuple(
                _parse_object(entry, era) for entry in body["objects"]
            ),
            deleted=tuple(body["deleted"]),
            complete=body["complete"],
        )

    async def list_vms(self) -> model.VmList:
        """Returns the platform's list of VMs."""
        response = await self._call(store_http.StoreMethod.GET, "/v1/vms")
        body = self._parse_document(response)
        vms = (_parse_vm(entry) for entry in body["vms"])
        return model.VmList(
            as_of_ms=body["as_of_ms"],
            vms=tuple(vm for vm in vms if vm is not None),
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._store_http.close()

    async def _put(
        self, kind: str, name: str, value: Any, headers: dict[str, str]
    ) -> model.StoredObject:
        body = json.dumps(value, separators=(",", ":"))
        response = await self._call(
            store_http.StoreMethod.PUT, _path(kind, name), headers, body
        )
        if response.code == _CONFLICT:
            raise self._conflict(kind, name, response)
        if response.code == _TOO_LARGE:
            raise model.ObjectTooLargeError(
                kind, name, peer=self._store_http.peer
            )
        return self._parse(response)

    def _build_condition(
        self, kind: str, name: str, version: int
    ) -> dict[str, str]:
        self._store_http.check_era(kind, name, version)
        return {"If-Match": str(model.find_revision(version))}

    async def _call(
        self,
        method: store_http.StoreMethod,
        path: str,
        headers: dict[str, str] | None = None,
        body: str | None = None,
    ) -> httpclient.HTTPResponse:
        return await self._store_http.call(
            method,
            path,
            expected_statuses=(
                _OK,
                _NOT_FOUND,
                _CONFLICT,
                _GONE,
                _TOO_LARGE,
            ),
            headers=headers,
            body=body,
        )

    def _parse(self, response: httpclient.HTTPResponse) -> model.StoredObject:
        era = self._store_http.find_era(response)
        return _parse_object(self._parse_document(response), era)

    def _parse_document(self, response: httpclient.HTTPResponse) -> Any:
        return documents.parse_document(
            response.body, peer=self._store_http.peer
        )

    def _conflict(
        self, kind: str, name: str, response: httpclient.HTTPResponse
    ) -> model.ConflictError:
        entry = self._parse_document(response)
        present = self._parse(response) if entry else None
        return model.ConflictError(
            kind, name, present, peer=self._store_http.peer
        )


def _path(kind: str, name: str) -> str:
    return (
        f"/v1/objects/{parse.quote(kind, safe='')}/{parse.quote(name, safe='')}"
    )


def _parse_object(entry: dict[str, Any], era: int) -> model.StoredObject:
    return model.StoredObject(
        kind=entry["kind"],
        name=entry["name"],
        version=model.combine_version(era, entry["version"]),
        value=entry["value"],
    )


def _parse_vm(entry: Any) -> model.ListedVm | None:
    """Returns a VM, None if its entry is malformed."""
    fields = {}
    for field in dataclasses.fields(model.ListedVm):
        value = entry.get(field.name) if isinstance(entry, dict) else None
        if not isinstance(value, str) or not value.isprintable():
            _LOGGER.warning("VM entry is malformed", field=field.name)
            return None
        fields[field.name] = value
    return model.ListedVm(**fields)
