"""Entry daemon on the users' platform: setup that has to happen before other modules are imported."""

import signal

__all__ = ["main"]


def main() -> None:
    """Run the entry daemon; a SIGHUP during the start does not terminate it."""
    # The default action of SIGHUP terminates the process, and the host installs its own handler only after some tenths
    # of a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here because the imports take most of that time.
    from hawthornbridge.platform.program import run

    run()


if __name__ == "__main__":
    main()
