"""Request handlers of the admin API and of the health checks."""

import hmac
import json
import secrets
from typing import Any

from tornado import web

from dragonflydyke import configuration, errors, logs
from dragonflydyke.admin import responses
from dragonflydyke.admin import services as admin_services

# Twice the size limit of a value on the platform, to allow for files with
# comments and indentation.
MAX_BODY_BYTES = 2_000_000
_BEARER = "Bearer "
_log = logs.get_logger(__name__)


class JsonHandler(web.RequestHandler):
    """Base class of handlers that respond in JSON, also to errors."""

    def initialize(self, services: admin_services.AdminServices) -> None:
        """Stores the services and creates a request id; called by Tornado.

        Args:
            services: Parts of the router that the handlers use.
        """
        self.services = services
        self.request_id = secrets.token_hex(16)

    def set_default_headers(self) -> None:
        """Sets the headers common to all responses."""
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")

    def send_json(self, value: Any, status: int = 200) -> None:
        """Sends a JSON response."""
        self.set_status(status)
        self.finish(json.dumps(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Sends an error in the format of the client API."""
        cause = kwargs.get("exc_info", (None, None, None))[1]
        error = _convert_exception(cause, status_code)
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
        """Logs unexpected exceptions only, not rejected requests."""
        if not isinstance(value, errors.DragonflydykeError | web.HTTPError):
            _log.error(
                "unexpected error in admin request",
                request_id=self.request_id,
                exc_info=(typ, value, tb),
            )

    def read_integer(self, name: str) -> int | None:
        """Returns an integer query argument, or None if it is absent.

        Raises:
            DragonflydykeError: `request_invalid` if it is not a non-negative
                integer.
        """
        text = self.get_query_argument(name, None)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise errors.DragonflydykeError(
                "request_invalid",
                f"{name}={text!r} is not a non-negative integer",
                step=errors.Step.READ_REQUEST,
                status=400,
                field=name,
            )
        return int(text)


def _convert_exception(
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
        "internal error of the router; see its log for this request id",
        step=errors.Step.READ_REQUEST,
        # The exception may have been raised after a write was sent.
        execution=errors.Execution.UNKNOWN,
        status=500,
    )


class NotFoundHandler(JsonHandler):
    """Rejects requests for unknown paths."""

    def prepare(self) -> None:
        """Rejects the request with status 404."""
        raise errors.DragonflydykeError(
            "path_unknown",
            f"{self.request.path} does not exist; see docs/operators.md",
            step=errors.Step.READ_REQUEST,
            status=404,
        )


class LivenessHandler(JsonHandler):
    """Liveness check, which succeeds while the event loop runs."""

    def get(self) -> None:
        """Responds that the process is alive."""
        self.send_json({"live": True})


class ReadinessHandler(JsonHandler):
    """Readiness check for the load balancer in front of the routers."""

    def get(self) -> None:
        """Responds with status 200 if ready, else with 503 and the reason."""
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
    """Returns whether an Authorization header contains an operator key.

    All hashes are compared, each in constant time, so that the duration does
    not reveal which key matches or how much of it.

    Args:
        authorization: Value of the header, empty if it is absent.
        operator_key_hashes: SHA-256 hashes of the accepted keys.
    """
    key = authorization.removeprefix(_BEARER)
    offered_hash = configuration.hash_key(key).encode()
    matches = [
        hmac.compare_digest(offered_hash, known_hash.encode())
        for known_hash in operator_key_hashes
    ]
    return authorization.startswith(_BEARER) and any(matches)


@web.stream_request_body
class OperatorHandler(JsonHandler):
    """Base class of handlers that require an operator key.

    The key is checked before the body is read.
    """

    def prepare(self) -> None:
        """Checks the operator key and the size of the body."""
        self._chunks = bytearray()
        header = self.request.headers.get("Authorization", "")
        if not check_operator_key(header, self.services.operator_key_hashes):
            raise errors.DragonflydykeError(
                "operator_key_invalid",
                "the operator key is missing or invalid; provide it with"
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
        """Appends a chunk of the body."""
        self._chunks.extend(chunk)

    def read_document(self) -> dict[str, Any]:
        """Parses the configuration document in the body.

        Raises:
            DragonflydykeError: If the body is not a JSON object.
        """
        try:
            mapping = json.loads(bytes(self._chunks))
        except (ValueError, RecursionError) as error:
            raise _build_body_error(str(error)) from error
        if not isinstance(mapping, dict):
            raise _build_body_error("the top-level value has another type")
        return mapping


def _build_body_error(reason: str) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "body_invalid",
        f"the body is not a JSON object ({reason}); send the document as JSON",
        step=errors.Step.READ_REQUEST,
        status=400,
    )


class ConfigurationHandler(OperatorHandler):
    """Applies and reads configurations."""

    async def get(self) -> None:
        """Responds with the current revision or the one in the query."""
        revision = self.read_integer("revision")
        stored = await self.services.configuration.read(revision)
        self.send_json(responses.to_json(stored))

    async def post(self) -> None:
        """Applies the configuration in the body."""
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
    """Validates a configuration without applying it."""

    async def post(self) -> None:
        """Validates the document and the change from the current revision."""
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
    """Lists the revisions of the configuration."""

    async def get(self) -> None:
        """Responds with the summaries of the stored revisions."""
        revisions = await self.services.configuration.history()
        self.send_json({"revisions": responses.to_json(tuple(revisions))})


class StatusHandler(OperatorHandler):
    """Reports the state of the fleet."""

    async def get(self) -> None:
        """Responds with one row for each VM in the platform's VM list."""
        self.send_json(responses.to_json(self.services.fleet.status()))


class RolloutsHandler(OperatorHandler):
    """Reports the states of rollouts."""

    async def get(self) -> None:
        """Responds with the states of all rollouts and their names."""
        states = [
            {"name": state.name, **state.to_mapping()}
            for state in self.services.roll_outs()
        ]
        self.send_json({"roll_outs": states})


class BillsHandler(OperatorHandler):
    """Lists bills or checks the ledger."""

    async def get(self) -> None:
        """Responds with bills, or with ledger inconsistencies if check=true."""
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
        """Adds a session key and responds with the ids of all keys."""
        key_ids = await self.services.session_keys.rotate()
        _log.info("session keys rotated", newest=key_ids[-1])
        self.send_json({"key_ids": list(key_ids)})


class CountersHandler(OperatorHandler):
    """Reports the counters and gauges of this process."""

    async def get(self) -> None:
        """Responds with the totals since the start and the gauges."""
        counters = self.services.counters
        self.send_json(
            {"counters": counters.totals(), "gauges": dict(counters.gauges)}
        )
