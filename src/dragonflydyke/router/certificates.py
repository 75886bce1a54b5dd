"""TLS certificates of the HTTP addresses, reloaded without a restart."""

import os
import pathlib
import ssl

from dragonflydyke import logs, metrics

_log = logs.get_logger("router.certificates")


class ServerCertificate:
    """TLS context of an HTTP address, reloaded when its files change.

    Attributes:
        context: Context for the server; new connections use the certificate
            that was loaded last.
    """

    __slots__ = (
        "_certificate",
        "_counters",
        "_key",
        "_loaded_times",
        "context",
    )

    def __init__(
        self,
        certificate: pathlib.Path,
        key: pathlib.Path | None,
        counters: metrics.Counters,
    ) -> None:
        """Loads the certificate and the key.

        Args:
            certificate: PEM certificate chain.
            key: PEM private key; None if it is in the same file.
            counters: Receives `certificate.reloaded` and
                `certificate.unusable`.

        Raises:
            OSError: If the files cannot be read or do not match.
        """
        self._certificate = certificate
        self._key = key
        self._counters = counters
        self._loaded_times = self._read_modification_times()
        self.context = _create_context()
        self.context.load_cert_chain(certificate, key)

    def reload_if_changed(self) -> None:
        """Reloads the files if they have changed and match each other."""
        try:
            times = self._read_modification_times()
            if times == self._loaded_times:
                return
            # The files may be replaced one after the other. A certificate that
            # does not match its key would break the context in use, so the
            # files are first loaded into a temporary one.
            _create_context().load_cert_chain(self._certificate, self._key)
            self.context.load_cert_chain(self._certificate, self._key)
        except OSError as error:
            self._counters.increment("certificate.unusable")
            _log.error("could not load certificate", error=repr(error))
            return
        self._loaded_times = times
        self._counters.increment("certificate.reloaded")
        _log.notice("reloaded certificate", path=str(self._certificate))

    def _read_modification_times(self) -> tuple[int, ...]:
        paths = [p for p in (self._certificate, self._key) if p is not None]
        return tuple(os.stat(path).st_mtime_ns for path in paths)


def _create_context() -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
