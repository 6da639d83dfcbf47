"""Tests of the settings: their table, precedence and error messages."""

import argparse
import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate.cli import options
from oriolegate.exceptions import SettingsError
from oriolegate.settings import kinds
from oriolegate.settings.logs import LogFormat
from oriolegate.settings.serve import load_serve_settings
from oriolegate.settings.serve import SERVE_SETTINGS

KEY = "a-shared-key-of-some-length"
REQUIRED = {
    "ORIOLEGATE_VM": "entry-1",
    "ORIOLEGATE_DATA_CENTRE": "nairobi-a",
    "ORIOLEGATE_PLATFORM_URLS": "http://10.0.0.1:9000,http://10.0.0.2:9000/",
    "ORIOLEGATE_PEER_KEY": KEY,
    "ORIOLEGATE_ADMIN_KEY": KEY + "-2",
}


def parse_flags(*arguments):
    parser = argparse.ArgumentParser()
    options.add_settings(parser, SERVE_SETTINGS)
    return vars(parser.parse_args(arguments))


def load(*arguments, files=None, **environ):
    return load_serve_settings(
        parse_flags(*arguments), REQUIRED | environ, (files or {}).__getitem__
    )


def error_lines(*arguments, files=None, **environ):
    try:
        load(*arguments, files=files, **environ)
    except SettingsError as error:
        return error.message.splitlines()
    return []


class ServeSettingsTest(unittest.TestCase):
    def test_variables_without_flags_are_sufficient(self):
        settings = load()
        self.assertEqual(settings.vm, "entry-1")
        self.assertEqual(
            settings.platform_urls,
            ("http://10.0.0.1:9000", "http://10.0.0.2:9000"),
        )
        self.assertEqual(settings.advertise_host, "127.0.0.1")
        self.assertIs(settings.log_format, LogFormat.TEXT)
        self.assertIsNone(settings.incarnation)

    def test_a_flag_overrides_a_variable_and_a_variable_the_default(self):
        self.assertEqual(load().peer_port, 8082)
        environ = {"ORIOLEGATE_PEER_PORT": "7000"}
        self.assertEqual(load(**environ).peer_port, 7000)
        self.assertEqual(load("--peer-port", "7001", **environ).peer_port, 7001)

    def test_repeated_v_flags_are_counted(self):
        self.assertEqual(load("-vv", ORIOLEGATE_VERBOSE="1").verbose, 2)
        self.assertEqual(load(ORIOLEGATE_VERBOSE="1").verbose, 1)

    def test_all_invalid_settings_are_reported_together(self):
        lines = error_lines(
            "--caller-port=x",
            "--log-format=xml",
            ORIOLEGATE_BIND_HOST="gateway.example",
            ORIOLEGATE_VM="",
            ORIOLEGATE_STOP_LIMIT_MS="10",
            ORIOLEGATE_ADMIN_KEY="short",
        )
        self.assertTrue(lines[0].startswith("6 settings are wrong"))
        for part in (
            "--caller-port (ORIOLEGATE_CALLER_PORT): got 'x' from the flag",
            "--log-format (ORIOLEGATE_LOG_FORMAT): got 'xml'",
            "--bind-host (ORIOLEGATE_BIND_HOST): got 'gateway.example' from"
            " the variable; allowed: an IP address",
            "--vm (ORIOLEGATE_VM)",
            "--stop-limit-ms (ORIOLEGATE_STOP_LIMIT_MS): got 10",
            "ORIOLEGATE_ADMIN_KEY: got a short key",
        ):
            matching = [line for line in lines if part in line]
            self.assertEqual(len(matching), 1, part)

    def test_all_missing_settings_are_named(self):
        with self.assertRaises(SettingsError) as caught:
            load_serve_settings({}, {})
        for variable in REQUIRED:
            self.assertIn(variable, caught.exception.message)

    def test_a_key_file_overrides_the_variable(self):
        files = {"/run/peer": f"{KEY}-from-file\n"}
        settings = load("--peer-key-file", "/run/peer", files=files)
        self.assertEqual(settings.peer_key, f"{KEY}-from-file")

    def test_an_unreadable_key_file_is_an_error(self):
        with self.assertRaises(SettingsError) as caught:
            load_serve_settings({"peer_key_file": "/nowhere/at/all"}, REQUIRED)
        self.assertIn("can't read /nowhere/at/all", str(caught.exception))

    def test_keys_are_not_printed(self):
        self.assertNotIn(KEY, repr(load()))
        lines = error_lines(ORIOLEGATE_PEER_KEY="q7-short")
        self.assertNotIn("q7-short", "\n".join(lines))
        self.assertEqual(len(lines), 2)

    def test_an_unspecified_bind_host_needs_an_advertise_host(self):
        self.assertIn("--advertise-host", error_lines("--bind-host=::")[1])
        settings = load("--bind-host=0.0.0.0", "--advertise-host=10.0.0.7")
        self.assertEqual(settings.advertise_host, "10.0.0.7")

    def test_equal_ports_are_an_error(self):
        lines = error_lines("--peer-port=8080")
        self.assertIn("three different ports", lines[1])

    def test_every_default_is_valid(self):
        for setting in SERVE_SETTINGS:
            if setting.default is not None:
                result = kinds.read_value(setting.kind, setting.default)
                self.assertTrue(result.is_ok(), setting.name)


class KindsTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        st.integers(0, 100), st.integers(0, 100), st.integers(0, 200)
    )
    def test_whole_numbers_keep_their_bounds(self, low, span, number):
        kind = kinds.WholeNumber(low, low + span)
        result = kinds.read_value(kind, str(number))
        self.assertEqual(result.is_ok(), low <= number <= low + span)

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        st.sampled_from([setting.kind for setting in SERVE_SETTINGS]),
        st.text(max_size=40),
    )
    def test_no_text_raises(self, kind, text):
        result = kinds.read_value(kind, text)
        self.assertTrue(result.is_ok() or result.error.startswith("got "))

    def test_invalid_urls_are_rejected(self):
        for text in ("10.0.0.1:9000", "ftp://a", "http://", "http://a,"):
            result = kinds.read_value(kinds.UrlList(), text)
            self.assertTrue(result.is_error(), text)
