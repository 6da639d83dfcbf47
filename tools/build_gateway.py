"""Build the gateway and its libraries, compiled, in target/deps.

The libraries are the runtime pins of pyproject.toml. They are reinstalled only
when the pins change; the package is copied in each build.
"""

import compileall
import pathlib
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"
PINS_FILE = ROOT / "target" / "pins"


def _install(pins: list[str]) -> None:
    if PINS_FILE.exists() and PINS_FILE.read_text() == "\n".join(pins):
        return
    shutil.rmtree(TARGET, ignore_errors=True)
    command = [
        sys.executable,
        "-m",
        "pip",
        "install",
        "--quiet",
        "--no-compile",
    ]
    command += ["--disable-pip-version-check", "--target", str(TARGET), *pins]
    subprocess.run(command, check=True)
    PINS_FILE.write_text("\n".join(pins))


def main() -> int:
    """Build; return the exit status."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    _install(project["dependencies"])
    package = TARGET / "oriolegate"
    shutil.rmtree(package, ignore_errors=True)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "src" / "oriolegate", package, ignore=ignored)
    compileall.compile_dir(str(TARGET), quiet=2, workers=0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
