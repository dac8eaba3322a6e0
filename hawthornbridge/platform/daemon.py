"""Entry daemon on the users' platform: setup that has to happen before other modules are imported."""

import os
import signal

__all__ = ["main"]

STANDARD_DESCRIPTORS = 3


def main() -> None:
    """Run the entry daemon; neither a SIGHUP during the start nor closed standard descriptors end it."""
    # The default action of SIGHUP terminates the process, and the host installs its own handler only after some tenths
    # of a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _open_standard_descriptors()
    # Imported here because the imports take most of that time.
    from hawthornbridge.leanimports import import_lean

    import_lean()
    from hawthornbridge.platform.program import run

    run()


def _open_standard_descriptors() -> None:
    """Open closed standard descriptors on the null device; a socket would otherwise get their numbers."""
    for descriptor in range(STANDARD_DESCRIPTORS):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is assigned, which is this descriptor.
            os.open(os.devnull, os.O_RDWR)


if __name__ == "__main__":
    main()
