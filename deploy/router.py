"""Starts the router from a checkout, without installing the package."""

import pathlib
import signal
import sys

# SIGHUP terminates the process by default, so a reload signal during the slow
# imports below would end it. The settings are read after the imports, so there
# is nothing to reload yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from dragonflydyke.platform import main  # noqa: E402

sys.exit(main.main())
