"""Build dist/oriolegate, a single file, from `src` and the installed pins.

The file is a zip that Python runs. docs/design/13-one-file.md explains why no
packer is used. Nothing is downloaded: each pin of pyproject.toml must be
installed at that version in the running interpreter's environment.
"""

from collections.abc import Iterator
import importlib.metadata
import io
import pathlib
import py_compile
import sys
import tempfile
import tomllib
import zipfile

from packaging import requirements

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "oriolegate"
# All members have the same timestamp, so that builds are reproducible.
MEMBER_TIME = (2020, 1, 1, 0, 0, 0)
# Install-time requirements of other pins; nothing imports them.
NOT_IMPORTED = frozenset({"setuptools", "pbr"})
EXCLUDED_SUFFIXES = frozenset({".pyc", ".pyi", ".c", ".h", ".pxd", ".pyx"})
EXCLUDED_NAMES = frozenset(
    {"RECORD", "INSTALLER", "REQUESTED", "direct_url.json", "py.typed"}
)
TEST_FOLDERS = frozenset({"test", "tests", "__pycache__"})


def _runtime_pins() -> list[requirements.Requirement]:
    text = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
    project = tomllib.loads(text)["project"]
    return [requirements.Requirement(pin) for pin in project["dependencies"]]


def find_distributions() -> dict[str, importlib.metadata.Distribution]:
    """Return the pinned distributions and their requirements, by name.

    Raises:
        SystemExit: If a pin is missing or installed at another version.
    """
    distributions: dict[str, importlib.metadata.Distribution] = {}
    pending = _runtime_pins()
    while pending:
        requirement = pending.pop()
        name = requirement.name.lower().replace("_", "-")
        if name in distributions or name in NOT_IMPORTED:
            continue
        try:
            distribution = importlib.metadata.distribution(requirement.name)
        except importlib.metadata.PackageNotFoundError:
            sys.exit(f"{requirement} is not installed; run `make test` first.")
        if not requirement.specifier.contains(distribution.version):
            sys.exit(
                f"{requirement} is required, but {distribution.version} is"
                " installed."
            )
        distributions[name] = distribution
        for text in distribution.requires or ():
            dependency = requirements.Requirement(text)
            if not dependency.marker or dependency.marker.evaluate(
                {"extra": ""}
            ):
                pending.append(dependency)
    return dict(sorted(distributions.items()))


def _is_shipped(path: pathlib.PurePath) -> bool:
    return not (
        path.parts[0] == ".."
        or path.is_absolute()
        or path.suffix in EXCLUDED_SUFFIXES
        or path.name in EXCLUDED_NAMES
        or TEST_FOLDERS.intersection(path.parts[:-1])
    )


def _distribution_files(
    distribution: importlib.metadata.Distribution,
) -> Iterator[tuple[str, bytes]]:
    for path in distribution.files or ():
        if _is_shipped(path):
            yield path.as_posix(), path.read_binary()


def _source_files() -> Iterator[tuple[str, bytes]]:
    source = ROOT / "src"
    for path in source.rglob("*"):
        relative = path.relative_to(source)
        if path.is_file() and _is_shipped(relative):
            yield relative.as_posix(), path.read_bytes()


def _compile(name: str, content: bytes) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        source = pathlib.Path(folder) / "module.py"
        target = pathlib.Path(folder) / "module.pyc"
        source.write_bytes(content)
        py_compile.compile(
            str(source),
            str(target),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return target.read_bytes()


def _collect_members() -> dict[str, bytes]:
    members: dict[str, bytes] = {}
    for distribution in find_distributions().values():
        members.update(_distribution_files(distribution))
    members.update(_source_files())
    main = ROOT / "tools" / "binary_main.py"
    members["__main__.py"] = main.read_bytes()
    members["BUILT_FOR"] = str(sys.implementation.cache_tag).encode()
    for name in [name for name in members if name.endswith(".py")]:
        members[f"{name}c"] = _compile(name, members[name])
    # In a zip a folder is a namespace package only if it has an entry.
    members.update(dict.fromkeys(_namespace_folders(members), b""))
    return members


def _namespace_folders(members: dict[str, bytes]) -> list[str]:
    folders = {
        f"{parent}/"
        for name in members
        if name.endswith((".py", ".so"))
        for parent in pathlib.PurePosixPath(name).parents
        if parent.name
    }
    return [name for name in folders if f"{name}__init__.py" not in members]


def _pack(shebang: bytes, members: dict[str, bytes]) -> bytes:
    buffer = io.BytesIO(shebang)
    # Offsets in the zip are relative to the start of the file.
    buffer.seek(0, io.SEEK_END)
    with zipfile.ZipFile(buffer, "w") as archive:
        for name in sorted(members):
            info = zipfile.ZipInfo(name, MEMBER_TIME)
            info.compress_type = zipfile.ZIP_DEFLATED
            archive.writestr(info, members[name])
    return buffer.getvalue()


def main() -> None:
    """Write dist/oriolegate."""
    version = f"python{sys.version_info.major}.{sys.version_info.minor}"
    # -I: environment variables and folders of the VM don't affect imports.
    shebang = f"#!/usr/bin/env -S {version} -I\n".encode()
    content = _pack(shebang, _collect_members())
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(content)
    OUTPUT.chmod(0o755)
    print(f"{OUTPUT.relative_to(ROOT)}: {len(content)} bytes, for {version}")


if __name__ == "__main__":
    main()
