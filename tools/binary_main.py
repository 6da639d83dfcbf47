"""Start oriolegate from one zip file; becomes its `__main__.py`.

Modules written in Python are imported from the zip. Extension modules can
only be loaded from a file, so each is written to a folder, loaded and then
removed at once.
"""

from collections.abc import Sequence
import importlib.abc
import importlib.machinery
import os
import sys
import tempfile
import types
import zipfile

ARCHIVE = os.path.dirname(os.path.abspath(__file__))
# The extension modules are compiled for one Python version.
BUILT_FOR_FILE = "BUILT_FOR"
UNPACK_VARIABLE = "ORIOLEGATE_UNPACK_DIR"
USAGE_STATUS = 2


class ArchiveExtensionLoader(importlib.machinery.ExtensionFileLoader):
    """Loads one extension module from the archive."""

    def create_module(
        self, spec: importlib.machinery.ModuleSpec
    ) -> types.ModuleType:
        """Write the module to a file, load the module and remove the file."""
        with zipfile.ZipFile(ARCHIVE) as archive:
            content = archive.read(os.path.relpath(self.path, ARCHIVE))
        folder = os.environ.get(UNPACK_VARIABLE) or None
        handle, path = tempfile.mkstemp(".so", "oriolegate-", folder)
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(content)
            spec.origin = path
            return super().create_module(spec)
        finally:
            spec.origin = self.path
            os.unlink(path)


class ArchiveExtensionFinder(importlib.abc.MetaPathFinder):
    """Finds the extension modules of the archive."""

    def __init__(self) -> None:
        with zipfile.ZipFile(ARCHIVE) as archive:
            names = archive.namelist()
        self.paths = {
            name.split(".", 1)[0].replace("/", "."): name
            for name in names
            if name.endswith(".so")
        }

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of an extension module of the archive."""
        if fullname not in self.paths:
            return None
        location = os.path.join(ARCHIVE, self.paths[fullname])
        loader = ArchiveExtensionLoader(fullname, location)
        return importlib.machinery.ModuleSpec(fullname, loader, origin=location)


def _check_interpreter() -> None:
    with zipfile.ZipFile(ARCHIVE) as archive:
        built_for = archive.read(BUILT_FOR_FILE).decode()
    if built_for != sys.implementation.cache_tag:
        print(
            f"oriolegate: this file was built for {built_for} and runs under"
            f" {sys.implementation.cache_tag}; start it with that version.",
            file=sys.stderr,
        )
        sys.exit(USAGE_STATUS)


def _check_unpack_folder() -> None:
    folder = os.environ.get(UNPACK_VARIABLE)
    if folder and not os.access(folder, os.W_OK | os.X_OK):
        print(
            f"oriolegate: 5004 {UNPACK_VARIABLE}: got {folder!r}; allowed: a"
            " folder that can be written, on a file system that may run code",
            file=sys.stderr,
        )
        sys.exit(USAGE_STATUS)


def main() -> int:
    """Make the archive's extension modules importable and run the command."""
    _check_interpreter()
    _check_unpack_folder()
    sys.meta_path.insert(0, ArchiveExtensionFinder())
    from oriolegate import __main__ as program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
