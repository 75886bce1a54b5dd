"""TLS for callers and between routers, and the inner key."""

import asyncio
import pathlib
import ssl
import tempfile
from urllib import parse

from cryptography import x509

from dragonflydyke import errors, metrics
from dragonflydyke.cli import exit_codes
from dragonflydyke.cli import main as cli_main
from dragonflydyke.protocol import client, node_pb2, server
from harness import deployment
from tests.builders import authorities, integration

_TIMEOUT_S = 5.0


class TlsTest(integration.IntegrationTestCase):
    """Guards against strangers that read or change the control state."""

    async def test_certificates_and_inner_key(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name)
        self.authority = authorities.Authority(path, "authority")
        self.stranger = authorities.Authority(path, "stranger")
        self.inner = self.authority.issue("inner")
        self.public = self.authority.issue("public")
        # Routers hear each other, so mutual TLS works between them.
        await self.deploy(
            integration.build_mapping(),
            router_flags=(
                "--drain-s=0.2",
                f"--public-tls-certificate={self.public.certificate}",
                f"--public-tls-key={self.public.key}",
                f"--inner-tls-certificate={self.inner.certificate}",
                f"--inner-tls-key={self.inner.key}",
                f"--inner-tls-authority={self.authority.certificate}",
            ),
        )
        with self.subTest("a stranger calls the inner address"):
            await self._check_inner()
        with self.subTest("a caller without TLS or with a wrong authority"):
            await self._check_public()
        with self.subTest("the certificate for callers is replaced"):
            await self._check_reload()
        with self.subTest("an operator's key goes over TLS only"):
            await self._check_admin(path)

    async def _check_inner(self) -> None:
        pair = self.inner
        foreign = self.stranger.issue("foreign")
        right, wrong = deployment.INNER_KEY, "wrong-inner-key"
        for key, tls, is_admitted in (
            (right, self._read(pair, self.authority), True),
            (wrong, self._read(pair, self.authority), False),
            ("", self._read(pair, self.authority), False),
            (right, self._read(foreign, self.authority), False),
            (right, self._read(pair, self.stranger), False),
            (right, None, False),
        ):
            with self.subTest(key=key, has_tls=tls is not None):
                self.assertEqual(await self._fetch(key, tls), is_admitted)
        refused = await self.read_counter(
            self.router(1), "inner.fetch_state.refused"
        )
        self.assertEqual(refused, 2)

    async def _fetch(self, key: str, tls: server.Tls | None) -> bool:
        peer = client.PeerClient(
            self.router(1).inner_address,
            inner_key=key,
            counters=metrics.Counters(),
            tls=tls,
        )
        try:
            bundle = await peer.fetch_state(
                node_pb2.FetchStateRequest(), timeout_s=_TIMEOUT_S
            )
        except errors.DragonflydykeError as error:
            self.assertEqual(error.code, "peer_unavailable")
            return False
        finally:
            await peer.close()
        return len(bundle.objects) > 0

    def _read(
        self,
        pair: authorities.IssuedCertificate,
        authority: authorities.Authority,
    ) -> server.Tls:
        return server.Tls(
            pair.certificate.read_bytes(),
            pair.key.read_bytes(),
            authority.certificate.read_bytes(),
        )

    async def _check_public(self) -> None:
        plain = await self.send_chat(self.router(1))
        self.assertEqual(plain.status, 599)
        for router in self.running.routers.values():
            router.public_url = router.public_url.replace("http:", "https:")
            for authority, status in (
                (self.authority, 200),
                (self.stranger, 599),
            ):
                reply = await self.send_chat(
                    router, ca_certs=str(authority.certificate)
                )
                self.assertEqual(reply.status, status, reply.error)

    async def _check_admin(self, path: pathlib.Path) -> None:
        pair = self.authority.issue("admin")
        self.running.add_router_flags(
            f"--admin-tls-certificate={pair.certificate}",
            f"--admin-tls-key={pair.key}",
        )
        router = await self.running.start_router("router-9", "cartago-b")
        url = router.admin_url.replace("http:", "https:")
        key_file = path / "operator.key"
        key_file.write_text(deployment.OPERATOR_KEY)
        for authority, expected in (
            (self.authority, exit_codes.ExitCode.OK),
            (self.stranger, exit_codes.ExitCode.UNAVAILABLE),
        ):
            code = await asyncio.to_thread(
                cli_main.main,
                [
                    "status",
                    f"--server={url}",
                    f"--operator-key-file={key_file}",
                    f"--authority-file={authority.certificate}",
                ],
            )
            self.assertEqual(code, expected)
        reply = await self.running.http.call(
            "GET", f"{router.admin_url}/v1/status"
        )
        self.assertEqual(reply.status, 599)

    async def _check_reload(self) -> None:
        router = self.router(1)
        number = await self._read_serial_number(router)
        self.assertEqual(number, self.public.serial_number)
        # A key without its certificate must not stop the service.
        old_key = self.public.key.read_bytes()
        self.public.key.write_bytes(self.inner.key.read_bytes())
        await self.wait_until(
            "the router sees the wrong key",
            lambda: self.read_counter(router, "certificate.unusable"),
        )
        number = await self._read_serial_number(router)
        self.assertEqual(number, self.public.serial_number)
        self.public.key.write_bytes(old_key)
        replaced = self.authority.issue("public")
        await self.wait_until(
            "the router shows the new certificate",
            lambda: self._shows(router, replaced.serial_number),
        )
        reply = await self.send_chat(
            router, ca_certs=str(self.authority.certificate)
        )
        self.assertEqual(integration.read_code(reply), "ok")

    async def _shows(
        self, router: deployment.RunningRouter, number: int
    ) -> bool:
        return await self._read_serial_number(router) == number

    async def _read_serial_number(
        self, router: deployment.RunningRouter
    ) -> int:
        address = parse.urlsplit(router.public_url)
        context = ssl.create_default_context(
            cafile=str(self.authority.certificate)
        )
        _, writer = await asyncio.open_connection(
            address.hostname, address.port, ssl=context
        )
        shown = writer.get_extra_info("ssl_object").getpeercert(True)
        writer.close()
        return x509.load_der_x509_certificate(shown).serial_number
