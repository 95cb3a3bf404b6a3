"""Starts a process of cactusgauge from the source tree."""

import gc
import os
import pathlib
import signal
import sys

# The settings are read later; until they are watched, the signal that they have changed must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

gc.disable()  # imports create many objects and hardly any garbage; `main` switches it on again

# All calls are plain HTTP; without this, importing aiohttp loads the certificates of the system.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cactusgauge.platform import node

if __name__ == "__main__":
    node.main()
