"""Run the command line as `python -m oriolegate`."""

import sys

from oriolegate.cli import main_parser


def main() -> int:
    """Run the command line and return the exit status of the process."""
    return main_parser.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
