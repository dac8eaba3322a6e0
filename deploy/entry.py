"""Start the entry daemon; ignores SIGHUP before anything else, because its default action ends a process."""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The imports below take most of the start, also that of the package itself.
import os  # noqa: E402
import sys  # noqa: E402

# The first entry is the folder of this file; the packages of the project are in the folder above.
sys.path[0] = os.path.dirname(sys.path[0])

from hawthornbridge.platform.daemon import main  # noqa: E402

if __name__ == "__main__":
    main()
