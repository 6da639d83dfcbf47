"""Install the dependencies that are pinned in pyproject.toml.

The project itself is run from `src`, so only its dependencies are installed.
"""

import pathlib
import subprocess
import sys
import tomllib


def main() -> int:
    """Install runtime and development pins into the running interpreter."""
    root = pathlib.Path(__file__).resolve().parent.parent
    project = tomllib.loads((root / "pyproject.toml").read_text())["project"]
    pins = project["dependencies"] + project["optional-dependencies"]["dev"]
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", *pins]
    return subprocess.call(command)


if __name__ == "__main__":
    sys.exit(main())
