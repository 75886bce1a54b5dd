"""Settings of the router program."""

import dataclasses
import pathlib
import re

from dragonflydyke import logs, settings
from dragonflydyke.routing import strategies

_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


def _parse_key_hashes(text: str) -> tuple[str, ...]:
    hashes = tuple(part.strip() for part in text.split(",") if part.strip())
    for entry in hashes:
        if not _SHA256_HEX.fullmatch(entry):
            raise ValueError(
                f"{entry!r} is not a SHA-256 of 64 hexadecimal digits;"
                " create one with dragonflydyke hash-key"
            )
    if not hashes:
        raise ValueError("must contain at least one hash")
    return hashes


@dataclasses.dataclass(slots=True, frozen=True)
class RouterSettings:
    """Settings of a router, read from flags and environment variables."""

    vm_name: str = settings.setting(
        "Name of this VM in the platform's VM list."
    )
    data_centre: str = settings.setting("Data centre in which this VM runs.")
    public_address: settings.Address = settings.setting(
        "host:port for clients.", settings.parse_address, "0.0.0.0:8080"
    )
    inner_address: settings.Address = settings.setting(
        "host:port for other routers.", settings.parse_address, "0.0.0.0:8081"
    )
    admin_address: settings.Address = settings.setting(
        "host:port for operators and health checks.",
        settings.parse_address,
        "127.0.0.1:8082",
    )
    advertised_inner_address: settings.Address | None = settings.setting(
        "host:port at which other routers reach this one, if it differs from"
        " the inner address.",
        settings.parse_address,
        optional=True,
    )
    platform_url: str = settings.setting(
        "Base URL of the platform's object API.", settings.parse_url
    )
    rating_url: str | None = settings.setting(
        "Base URL of the service that rates responses.",
        settings.parse_url,
        optional=True,
    )
    seed_peers: tuple[settings.Address, ...] = settings.setting(
        "Inner addresses of routers from which the state is fetched if the"
        " platform is unavailable at the start, separated by commas.",
        settings.parse_addresses,
        "",
    )
    inner_key_file: pathlib.Path = settings.setting(
        "File with the secret key shared by all routers.",
        settings.parse_existing_file,
    )
    operator_key_hashes: tuple[str, ...] = settings.setting(
        "SHA-256 hashes of the operators' keys, separated by commas.",
        _parse_key_hashes,
    )
    public_tls_certificate: pathlib.Path | None = settings.setting(
        "PEM certificate chain for clients; plain HTTP without it.",
        settings.parse_existing_file,
        optional=True,
    )
    public_tls_key: pathlib.Path | None = settings.setting(
        "PEM private key of the certificate for clients.",
        settings.parse_existing_file,
        optional=True,
    )
    admin_tls_certificate: pathlib.Path | None = settings.setting(
        "PEM certificate chain for operators; plain HTTP without it.",
        settings.parse_existing_file,
        optional=True,
    )
    admin_tls_key: pathlib.Path | None = settings.setting(
        "PEM private key of the certificate for operators.",
        settings.parse_existing_file,
        optional=True,
    )
    inner_tls_certificate: pathlib.Path | None = settings.setting(
        "PEM certificate of this router for other routers.",
        settings.parse_existing_file,
        optional=True,
    )
    inner_tls_key: pathlib.Path | None = settings.setting(
        "PEM private key of the certificate for other routers.",
        settings.parse_existing_file,
        optional=True,
    )
    inner_tls_authority: pathlib.Path | None = settings.setting(
        "PEM certificate of the authority that signs routers' certificates.",
        settings.parse_existing_file,
        optional=True,
    )
    server_choice: str = settings.setting(
        f"How a backend server is chosen: {', '.join(strategies.NAMES)}.",
        settings.parse_choice(*strategies.NAMES),
        strategies.DEFAULT,
    )
    statsd_address: settings.Address | None = settings.setting(
        "host:port of the statsd server; counters are not sent without it.",
        settings.parse_address,
        optional=True,
    )
    statsd_prefix: str = settings.setting(
        "Prefix of all counter names.", default="dragonflydyke.router"
    )
    drain_s: float = settings.setting(
        "Seconds between failing the readiness check and closing the public"
        " address at a graceful shutdown.",
        settings.parse_non_negative_float,
        "5",
    )
    shutdown_s: float = settings.setting(
        "Seconds that a graceful shutdown waits for requests in progress.",
        settings.parse_positive_float,
        "600",
    )
    log_level: str = settings.setting(
        f"One of {', '.join(logs.LEVELS)}.",
        settings.parse_choice(*logs.LEVELS),
        "info",
    )
    log_format: str = settings.setting(
        f"One of {', '.join(logs.FORMATS)}.",
        settings.parse_choice(*logs.FORMATS),
        "json",
    )
