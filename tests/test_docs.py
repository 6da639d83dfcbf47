"""Tests that the documentation matches the program and itself."""

import pathlib
import re
import tomllib
import unittest

from oriolegate.network import caller_wire
from oriolegate.settings.serve import SERVE_SETTINGS

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def pages():
    return [*ROOT.glob("*.md"), *DOCS.rglob("*.md"), *ROOT.glob("news/*.md")]


class DocsTest(unittest.TestCase):
    def test_every_relative_link_points_to_a_file(self):
        for page in pages():
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                path = page.parent / target
                self.assertTrue(path.exists(), f"{page}: {target}")

    def test_the_index_lists_every_page(self):
        index = (DOCS / "README.md").read_text(encoding="utf-8")
        for page in DOCS.rglob("*.*"):
            if page != DOCS / "README.md" and page.suffix in (".md", ".yaml"):
                self.assertIn(f"({page.relative_to(DOCS)})", index)

    def test_every_pinned_dependency_is_documented_with_its_reason(self):
        text = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
        project = tomllib.loads(text)["project"]
        pins = project["dependencies"]
        pins += project["optional-dependencies"]["dev"]
        page = (DOCS / "dependencies.md").read_text(encoding="utf-8")
        documented = re.findall(r"^\| `([^`]+==[^`]+)` \| .+ \|$", page, re.M)
        self.assertEqual(sorted(documented), sorted(pins))

    def test_settings_of_serve_are_documented_with_their_defaults(self):
        page = (DOCS / "operators" / "running.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| `(--[a-z-]+)` \|([^|]*)\|", page, re.M)
        expected = [
            (
                setting.flag,
                "required" if setting.required else setting.default or "",
            )
            for setting in SERVE_SETTINGS
            if not setting.variable_only
        ]
        listed = [(flag, default.strip()) for flag, default in rows]
        self.assertEqual(sorted(listed), sorted(expected))

    def test_callers_pages_list_every_status(self):
        statuses = {200, caller_wire.DEFAULT_STATUS}
        statuses |= set(caller_wire.HTTP_STATUS.values())
        # Only operators authenticate with a key.
        statuses.remove(401)
        text = (DOCS / "interfaces" / "callers.openapi.yaml").read_text()
        described = set(map(int, re.findall(r'^ +"(\d{3})":', text, re.M)))
        self.assertEqual(described, statuses)
        page = (DOCS / "interfaces" / "callers.md").read_text()
        listed = set(map(int, re.findall(r"^\| (\d{3}) \|", page, re.M)))
        self.assertEqual(listed, statuses - {200})
