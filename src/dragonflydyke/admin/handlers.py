"""Handlers of the admin API and of the health checks."""

import hmac
import json
import secrets
from typing import Any

from tornado import web

from dragonflydyke import configuration, errors, logs
from dragonflydyke.admin import responses
from dragonflydyke.admin import services as admin_services

# Twice the largest value that the platform stores, for files with comments
# and indentation.
MAX_BODY_BYTES = 2_000_000
_BEARER = "Bearer "
_log = logs.get_logger(__name__)


class JsonHandler(web.RequestHandler):
    """Answers in JSON, errors included."""

    def initialize(self, services: admin_services.AdminServices) -> None:
        """Stores the services; called by tornado."""
        self.services = services
        self.request_id = secrets.token_hex(16)

    def set_default_headers(self) -> None:
        """Sets the headers of each answer."""
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")

    def send_json(self, value: Any, status: int = 200) -> None:
        """Sends a JSON answer."""
        self.set_status(status)
        self.finish(json.dumps(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Sends an error in the format of the caller API."""
        cause = kwargs.get("exc_info", (None, None, None))[1]
        error = _to_error(cause, status_code)
        self.services.counters.increment(f"refusal.{error.code}")
        self.set_status(error.status)
        self.set_header("Dragonflydyke-Request-Id", self.request_id)
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(int(error.retry_after_s) + 1))
        if error.status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(
            json.dumps(responses.build_error_body(error, self.request_id))
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs faults of the program only, not refusals."""
        if not isinstance(value, errors.DragonflydykeError | web.HTTPError):
            _log.error(
                "admin request failed",
                request_id=self.request_id,
                exc_info=(typ, value, tb),
            )

    def read_integer(self, name: str) -> int | None:
        """Returns a query argument as a number, None if it is absent."""
        text = self.get_query_argument(name, None)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise errors.DragonflydykeError(
                "request_invalid",
                f"{name}={text!r} is not a whole number; give one",
                step=errors.Step.READ_REQUEST,
                status=400,
                field=name,
            )
        return int(text)


def _to_error(
    cause: BaseException | None, status: int
) -> errors.DragonflydykeError:
    if isinstance(cause, errors.DragonflydykeError):
        return cause
    if isinstance(cause, web.HTTPError):
        return errors.DragonflydykeError(
            "request_invalid",
            f"{cause}; see docs/operators.md for the requests",
            step=errors.Step.READ_REQUEST,
            status=status,
        )
    return errors.DragonflydykeError(
        "internal_error",
        "the router failed; see its log under the request id",
        step=errors.Step.READ_REQUEST,
        # A fault may arise after a write was sent.
        execution=errors.Execution.UNKNOWN,
        status=500,
    )


class NotFoundHandler(JsonHandler):
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        """Refuses the request."""
        raise errors.DragonflydykeError(
            "path_unknown",
            f"{self.request.path} does not exist; see docs/operators.md",
            step=errors.Step.READ_REQUEST,
            status=404,
        )


class LiveHandler(JsonHandler):
    """Answers while the event loop runs."""

    def get(self) -> None:
        """Reports that the process is alive."""
        self.send_json({"live": True})


class ReadyHandler(JsonHandler):
    """Tells the load balancer whether to send callers here."""

    def get(self) -> None:
        """Reports readiness; 503 with the reason if not ready."""
        status = self.services.fleet.status()
        content = {
            "ready": status.ready,
            "reason": status.reason,
            "revision": status.revision,
        }
        self.send_json(content, 200 if status.ready else 503)


def check_operator_key(
    authorization: str, operator_key_hashes: tuple[str, ...]
) -> bool:
    """Returns whether a header holds an operator key.

    All hashes are compared, each in constant time, so that the duration does
    not show which key or how much of it matches.
    """
    key = authorization.removeprefix(_BEARER)
    offered = configuration.hash_key(key).encode()
    matches = [
        hmac.compare_digest(offered, known.encode())
        for known in operator_key_hashes
    ]
    return authorization.startswith(_BEARER) and any(matches)


@web.stream_request_body
class OperatorHandler(JsonHandler):
    """Admits operators only; the body is read after the key is checked."""

    def prepare(self) -> None:
        """Checks the operator key and the size of the body."""
        self._chunks = bytearray()
        header = self.request.headers.get("Authorization", "")
        if not check_operator_key(header, self.services.operator_key_hashes):
            raise errors.DragonflydykeError(
                "operator_key_invalid",
                "the operator key is missing or unknown; give the key with"
                " --operator-key-file",
                step=errors.Step.AUTHENTICATE,
                status=401,
            )
        self.request.connection.set_max_body_size(MAX_BODY_BYTES)  # type: ignore[union-attr]
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise errors.DragonflydykeError(
                "body_too_large",
                f"the body exceeds {MAX_BODY_BYTES} bytes; reduce the document",
                step=errors.Step.READ_REQUEST,
                status=413,
            )

    def data_received(self, chunk: bytes) -> None:
        """Collects the body."""
        self._chunks.extend(chunk)

    def read_document(self) -> dict[str, Any]:
        """Returns the configuration in the body.

        Raises:
            DragonflydykeError: If the body is not a JSON object.
        """
        try:
            mapping = json.loads(bytes(self._chunks))
        except (ValueError, RecursionError) as error:
            raise _body_invalid(str(error)) from error
        if not isinstance(mapping, dict):
            raise _body_invalid("it holds no object")
        return mapping


def _body_invalid(reason: str) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "body_invalid",
        f"the body is not a JSON object ({reason}); send the document as one",
        step=errors.Step.READ_REQUEST,
        status=400,
    )


class ConfigurationHandler(OperatorHandler):
    """Applies and returns configurations."""

    async def get(self) -> None:
        """Returns the current or a named revision from the platform."""
        revision = self.read_integer("revision")
        stored = await self.services.configuration.read(revision)
        self.send_json(responses.to_json(stored))

    async def post(self) -> None:
        """Applies a configuration."""
        mapping = self.read_document()
        applied_by = admin_services.compose_applied_by(
            self.get_query_argument("applied_by", "operator"),
            self.get_query_argument("change_token", ""),
        )
        change = await self.services.configuration.apply(
            mapping, applied_by, self.read_integer("base_revision")
        )
        _log.info(
            "configuration applied",
            revision=change.revision,
            applied_by=applied_by,
        )
        self.send_json(responses.to_json(change))


class ValidateHandler(OperatorHandler):
    """Checks a configuration without applying it."""

    async def post(self) -> None:
        """Checks a document, also as a successor of the current one."""
        document = configuration.parse(self.read_document())
        revision = 0
        try:
            stored = await self.services.configuration.read()
        except errors.DragonflydykeError as error:
            if error.status != 404:
                raise
        else:
            revision = stored.revision
            current = configuration.parse_accepted(stored.document)
            configuration.check_transition(current, document)
        mapping = configuration.to_mapping(document)
        digest = configuration.digest(mapping)
        self.send_json({"digest": digest, "base_revision": revision})


class HistoryHandler(OperatorHandler):
    """Returns the history."""

    async def get(self) -> None:
        """Returns the summaries of all stored revisions."""
        revisions = await self.services.configuration.history()
        self.send_json({"revisions": responses.to_json(tuple(revisions))})


class StatusHandler(OperatorHandler):
    """Returns the state of the fleet."""

    async def get(self) -> None:
        """Returns one row for each listed VM."""
        self.send_json(responses.to_json(self.services.fleet.status()))


class RolloutsHandler(OperatorHandler):
    """Returns the states of roll-outs."""

    async def get(self) -> None:
        """Returns all states, each with its name."""
        states = [
            {"name": state.name, **state.to_mapping()}
            for state in self.services.roll_outs()
        ]
        self.send_json({"roll_outs": states})


class BillsHandler(OperatorHandler):
    """Returns bills or the check of the ledger."""

    async def get(self) -> None:
        """Returns bills, or the faults of the ledger if check=true."""
        if self.get_query_argument("check", "") == "true":
            check = await self.services.bills.check()
            content = {
                "gaps": responses.to_json(tuple(check.gaps)),
                "duplicates": responses.to_json(tuple(check.duplicates)),
            }
            self.send_json(content)
            return
        account = self.get_query_argument("client_account", None)
        bills = await self.services.bills.read(account)
        self.send_json({"bills": [bill.to_mapping() for bill in bills]})


class RotateSessionKeysHandler(OperatorHandler):
    """Rotates the session keys."""

    async def post(self) -> None:
        """Adds a session key and returns the ids of the ring."""
        key_ids = await self.services.session_keys.rotate()
        _log.info("session keys rotated", newest=key_ids[-1])
        self.send_json({"key_ids": list(key_ids)})


class CountersHandler(OperatorHandler):
    """Returns the counters of this process."""

    async def get(self) -> None:
        """Returns totals since the start and gauges."""
        counters = self.services.counters
        self.send_json(
            {"counters": counters.totals(), "gauges": dict(counters.gauges)}
        )
