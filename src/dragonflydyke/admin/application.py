"""Routes of the admin API."""

from typing import Any

from tornado import web

from dragonflydyke.admin import handlers
from dragonflydyke.admin import services as admin_services

_ROUTES: tuple[tuple[str, type[web.RequestHandler]], ...] = (
    (r"/health/live", handlers.LivenessHandler),
    (r"/health/ready", handlers.ReadinessHandler),
    (r"/v1/configuration", handlers.ConfigurationHandler),
    (r"/v1/configuration/validate", handlers.ValidateHandler),
    (r"/v1/history", handlers.HistoryHandler),
    (r"/v1/status", handlers.StatusHandler),
    (r"/v1/roll-outs", handlers.RolloutsHandler),
    (r"/v1/bills", handlers.BillsHandler),
    (r"/v1/session-keys/rotate", handlers.RotateSessionKeysHandler),
    (r"/v1/counters", handlers.CountersHandler),
)


def _skip_access_log(handler: web.RequestHandler) -> None:
    # Health checks arrive every few seconds and would fill an access log. The
    # handlers log changes of state themselves.
    del handler


def build_application(
    services: admin_services.AdminServices,
) -> web.Application:
    """Builds the web application that is served on the admin address."""
    arguments: dict[str, Any] = {"services": services}
    return web.Application(
        [(pattern, handler, arguments) for pattern, handler in _ROUTES],
        default_handler_class=handlers.NotFoundHandler,
        default_handler_args=arguments,
        log_function=_skip_access_log,
    )
