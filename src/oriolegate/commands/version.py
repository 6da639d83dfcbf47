"""`oriolegate version`: print the version."""

import argparse

import oriolegate


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add no options: the command has none."""


def run(arguments: argparse.Namespace) -> int:
    """Print the version and return the exit status."""
    print(f"oriolegate {oriolegate.__version__}")
    return 0
