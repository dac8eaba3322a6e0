"""The operators' command-line tool."""

import cappa

__all__ = ["main"]


class Command:
    """Operate a hawthornbridge fleet."""


def main() -> None:
    """Parse the command line and run the command."""
    cappa.parse(Command)


if __name__ == "__main__":
    main()
