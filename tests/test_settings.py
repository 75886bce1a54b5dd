"""Tests of reading settings from flags and environment variables."""

import dataclasses
import unittest

from dragonflydyke import settings


@dataclasses.dataclass(slots=True, frozen=True)
class _Settings:
    public_address: settings.Address = settings.setting(
        "Address.", settings.parse_address
    )
    grace_s: float = settings.setting(
        "Seconds.", settings.parse_positive_float, "5"
    )


class ReadSettingsTest(unittest.TestCase):
    """Guards against settings that are ignored or not validated."""

    def test_flag_takes_precedence_over_environment_variable(self) -> None:
        """Guards against a flag being ignored and a default not applied."""
        read = settings.read_settings(
            _Settings,
            {"public-address": "a:1"},
            {"DRAGONFLYDYKE_PUBLIC_ADDRESS": "b:2"},
        )
        self.assertEqual(read.public_address, settings.Address("a", 1))
        self.assertEqual(read.grace_s, 5.0)

    def test_error_names_the_setting_or_the_invalid_value(self) -> None:
        """Guards against errors that leave out what has to be corrected."""
        for flags, expected in (
            ({}, "DRAGONFLYDYKE_PUBLIC_ADDRESS"),
            ({"public-address": "a"}, "'a' is not host:port"),
            ({"public-address": "a:70000"}, "70000"),
            ({"public-address": "a:1", "grace-s": "nan"}, "nan"),
        ):
            with self.subTest(flags=flags):
                with self.assertRaises(settings.SettingsError) as caught:
                    settings.read_settings(_Settings, flags, {})
                self.assertIn(expected, str(caught.exception))
