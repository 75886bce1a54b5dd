"""Certificates of the HTTP addresses, replaced without a restart."""

import os
import pathlib
import ssl

from dragonflydyke import logs, metrics

_log = logs.get_logger("router.certificates")


class ServerCertificate:
    """TLS context of an HTTP address, which follows its files.

    Attributes:
        context: For the server; new connections use the newest certificate.
    """

    __slots__ = ("_certificate", "_counters", "_key", "_seen", "context")

    def __init__(
        self,
        certificate: pathlib.Path,
        key: pathlib.Path | None,
        counters: metrics.Counters,
    ) -> None:
        """Loads the files.

        Args:
            certificate: PEM certificate chain.
            key: PEM private key; None if it is in the same file.
            counters: Receives `certificate.reloaded` and
                `certificate.unusable`.

        Raises:
            OSError: If the files cannot be used.
        """
        self._certificate = certificate
        self._key = key
        self._counters = counters
        self._seen = self._read_times()
        self.context = _create_context()
        self.context.load_cert_chain(certificate, key)

    def reload_if_changed(self) -> None:
        """Loads the files again if they changed and belong together."""
        try:
            times = self._read_times()
            if times == self._seen:
                return
            # A certificate without its key would break the live context, so
            # the files are tried first. They may be replaced one by one.
            _create_context().load_cert_chain(self._certificate, self._key)
            self.context.load_cert_chain(self._certificate, self._key)
        except OSError as error:
            self._counters.increment("certificate.unusable")
            _log.error("certificate not loaded", error=repr(error))
            return
        self._seen = times
        self._counters.increment("certificate.reloaded")
        _log.notice("certificate loaded", path=str(self._certificate))

    def _read_times(self) -> tuple[int, ...]:
        paths = [p for p in (self._certificate, self._key) if p is not None]
        return tuple(os.stat(path).st_mtime_ns for path in paths)


def _create_context() -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
