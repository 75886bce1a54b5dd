"""Starts the router from a checkout, without an installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from dragonflydyke.platform import main  # noqa: E402

sys.exit(main.main())
