"""Tests of session tokens."""

import unittest

import hypothesis
from hypothesis import strategies

from dragonflydyke import errors
from dragonflydyke.sessions import model, tokens

_SESSION = model.Session("cartago-packing", "5e55", "planner", "v1", 17)


class TokensTest(unittest.TestCase):
    """Guards against sessions that change their version or client account."""

    def setUp(self) -> None:
        self.ring = tokens.rotate(model.KeyRing(()))

    def expect_invalid(self, token: str, account: str = "") -> None:
        """Checks that a token is rejected with the error for clients."""
        with self.assertRaises(errors.DragonflydykeError) as caught:
            tokens.verify(self.ring, token, account or _SESSION.client_account)
        error = caught.exception
        self.assertEqual((error.code, error.status), _INVALID)
        self.assertEqual(error.execution, errors.Execution.NOT_RUN)
        self.assertIn("start a new session", error.message)

    @hypothesis.given(
        strategies.builds(
            model.Session,
            *(strategies.text(max_size=60) for _ in range(4)),
            started_at_ms=strategies.integers(0, 2**63),
        )
    )
    def test_round_trip(self, session: model.Session) -> None:
        ring = model.KeyRing((model.SessionKey("k", "secret"),))
        token = tokens.issue(ring, session)
        self.assertTrue(token.isascii())
        verified = tokens.verify(ring, token, session.client_account)
        self.assertEqual(verified, session)

    def test_tokens_are_valid_until_their_key_is_removed(self) -> None:
        # Guards against rotations that end sessions too early or never.
        token = tokens.issue(self.ring, _SESSION)
        for _ in range(tokens.MAX_KEYS - 1):
            self.ring = tokens.rotate(self.ring)
            account = _SESSION.client_account
            session = tokens.verify(self.ring, token, account)
            self.assertEqual(session, _SESSION)
        signing_ring = model.KeyRing(self.ring.keys[-2:-1])
        tokens.verify(signing_ring, tokens.issue(self.ring, _SESSION), account)
        self.ring = tokens.rotate(self.ring)
        self.expect_invalid(token)

    def test_router_with_the_previous_ring_accepts_tokens(self) -> None:
        """Regression test: the newest key signed before all routers had it."""
        for _ in range(2 * tokens.MAX_KEYS):
            previous_ring, self.ring = self.ring, tokens.rotate(self.ring)
            for signing_ring, verifying_ring in (
                (self.ring, previous_ring),
                (previous_ring, self.ring),
            ):
                token = tokens.issue(signing_ring, _SESSION)
                session = tokens.verify(
                    verifying_ring, token, _SESSION.client_account
                )
                self.assertEqual(session, _SESSION)

    def test_truncated_changed_and_forged_tokens(self) -> None:
        # Guards against tokens that are accepted without a valid signature or
        # for another client account.
        token = tokens.issue(self.ring, _SESSION)
        for end in range(len(token)):
            self.expect_invalid(token[:end])
        for index, character in enumerate(token[:-1]):
            other = "A" if character != "A" else "B"
            self.expect_invalid(token[:index] + other + token[index + 1 :])
        self.expect_invalid(token, "other")
        other_ring = tokens.rotate(model.KeyRing(()))
        self.expect_invalid(tokens.issue(other_ring, _SESSION))
        self.expect_invalid(token + "x" * tokens.MAX_TOKEN_LENGTH)

    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_is_rejected(self, text: str) -> None:
        # Guards against text that raises another error than a rejection.
        self.ring = model.KeyRing((model.SessionKey("k", "secret"),))
        self.expect_invalid(text)

    def test_signed_token_with_other_fields(self) -> None:
        # Guards against a crash on tokens of a release with other fields.
        serializer = tokens._get_serializer(self.ring)
        for contents in ([], {}, ["a"] * 5, ["a", "b", "c", "d", "e", 1]):
            self.expect_invalid(serializer.dumps(contents))

    def test_ring_round_trip(self) -> None:
        # Guards against stored rings that lose keys or have none.
        ring = tokens.rotate(self.ring)
        self.assertEqual(tokens.parse_ring(tokens.format_ring(ring)), ring)
        with self.assertRaises(ValueError):
            tokens.parse_ring({"keys": []})
        with self.assertRaises(errors.DragonflydykeError) as caught:
            tokens.issue(model.KeyRing(()), _SESSION)
        self.assertEqual(caught.exception.code, "session_keys_missing")


_INVALID = ("session_token_invalid", 403)
