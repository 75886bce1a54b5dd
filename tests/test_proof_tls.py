"""Tests of TLS for clients and between routers, and of the inner key."""

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
    """Guards against unauthorised access to the inner and admin addresses."""

    async def test_certificates_and_inner_key(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name)
        self.authority = authorities.Authority(path, "authority")
        self.other_authority = authorities.Authority(path, "stranger")
        self.inner = self.authority.issue("inner")
        self.public = self.authority.issue("public")
        # `deploy` waits until the routers have exchanged reports, which proves
        # that mutual TLS works between them.
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
        with self.subTest("an unauthorised peer calls the inner address"):
            await self._check_inner()
        with self.subTest("a client without TLS or with a wrong authority"):
            await self._check_public()
        with self.subTest("the certificate for clients is replaced"):
            await self._check_reload()
        with self.subTest("an operator key is sent over TLS only"):
            await self._check_admin(path)

    async def _check_inner(self) -> None:
        issued = self.inner
        other_issued = self.other_authority.issue("foreign")
        valid_key, invalid_key = deployment.INNER_KEY, "wrong-inner-key"
        for key, tls, is_accepted in (
            (valid_key, self._build_tls(issued, self.authority), True),
            (invalid_key, self._build_tls(issued, self.authority), False),
            ("", self._build_tls(issued, self.authority), False),
            (valid_key, self._build_tls(other_issued, self.authority), False),
            (valid_key, self._build_tls(issued, self.other_authority), False),
            (valid_key, None, False),
        ):
            with self.subTest(key=key, has_tls=tls is not None):
                self.assertEqual(await self._fetch(key, tls), is_accepted)
        rejected = await self.read_counter(
            self.router(1), "inner.fetch_state.refused"
        )
        self.assertEqual(rejected, 2)

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

    def _build_tls(
        self,
        issued: authorities.IssuedCertificate,
        authority: authorities.Authority,
    ) -> server.Tls:
        return server.Tls(
            issued.certificate.read_bytes(),
            issued.key.read_bytes(),
            authority.certificate.read_bytes(),
        )

    async def _check_public(self) -> None:
        plain_reply = await self.send_chat(self.router(1))
        self.assertEqual(plain_reply.status, 599)
        for router in self.running.routers.values():
            router.public_url = router.public_url.replace("http:", "https:")
            for authority, status in (
                (self.authority, 200),
                (self.other_authority, 599),
            ):
                reply = await self.send_chat(
                    router, ca_certs=str(authority.certificate)
                )
                self.assertEqual(reply.status, status, reply.error)

    async def _check_admin(self, path: pathlib.Path) -> None:
        issued = self.authority.issue("admin")
        self.running.add_router_flags(
            f"--admin-tls-certificate={issued.certificate}",
            f"--admin-tls-key={issued.key}",
        )
        router = await self.running.start_router("router-9", "cartago-b")
        url = router.admin_url.replace("http:", "https:")
        key_file = path / "operator.key"
        key_file.write_text(deployment.OPERATOR_KEY)
        for authority, expected in (
            (self.authority, exit_codes.ExitCode.OK),
            (self.other_authority, exit_codes.ExitCode.UNAVAILABLE),
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
        # A key that does not match the certificate must not interrupt service.
        old_key = self.public.key.read_bytes()
        self.public.key.write_bytes(self.inner.key.read_bytes())
        await self.wait_until(
            "the router detects the wrong key",
            lambda: self.read_counter(router, "certificate.unusable"),
        )
        number = await self._read_serial_number(router)
        self.assertEqual(number, self.public.serial_number)
        self.public.key.write_bytes(old_key)
        replaced = self.authority.issue("public")
        await self.wait_until(
            "the router presents the new certificate",
            lambda: self._presents(router, replaced.serial_number),
        )
        reply = await self.send_chat(
            router, ca_certs=str(self.authority.certificate)
        )
        self.assertEqual(integration.read_code(reply), "ok")

    async def _presents(
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
        presented = writer.get_extra_info("ssl_object").getpeercert(True)
        writer.close()
        return x509.load_der_x509_certificate(presented).serial_number
