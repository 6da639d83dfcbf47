"""Adds the flags of declared settings to a command's parser."""

import argparse
from collections.abc import Iterable
from typing import Any

from oriolegate.settings import kinds
from oriolegate.settings.table import Setting


def _help_text(setting: Setting) -> str:
    parts = [
        setting.summary,
        f"allowed: {kinds.describe_allowed(setting.kind)}",
    ]
    if setting.default is not None:
        parts.append(f"default: {setting.default}")
    if setting.required:
        parts.append("required")
    parts.append(f"variable: {setting.variable}")
    return "; ".join(parts).replace("%", "%%")


def add_setting(parser: argparse.ArgumentParser, setting: Setting) -> None:
    """Add the flag of one setting; `read_settings` validates its value."""
    if setting.variable_only:
        return
    flags = [setting.short_flag] if setting.short_flag else []
    extra: dict[str, Any] = {"metavar": "VALUE"}
    if setting.repeats:
        extra = {"action": "count"}
    elif isinstance(setting.kind, kinds.UrlList):
        extra["action"] = "append"
    parser.add_argument(
        *flags,
        setting.flag,
        dest=setting.field,
        default=None,
        help=_help_text(setting),
        **extra,
    )


def add_settings(
    parser: argparse.ArgumentParser, table: Iterable[Setting]
) -> None:
    """Add the flags of a table; list variables without a flag in the epilog."""
    variables = []
    for setting in table:
        add_setting(parser, setting)
        if setting.variable_only:
            variables.append(f"{setting.variable} ({setting.summary})")
    if variables:
        parser.epilog = (
            "Variables without a flag: " + "; ".join(variables) + "."
        )
