"""Starts a cactusgauge process from the source tree."""

import gc
import os
import pathlib
import signal
import sys

# The platform sends SIGHUP when the settings have changed. Until `Node` installs a handler, the signal's default action
# would end the process, so it is ignored.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

gc.disable()  # imports create many objects and hardly any garbage; `main` enables it again

# Importing aiohttp would load the system's CA certificates; all calls are plain HTTP and need none.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cactusgauge.platform import node

if __name__ == "__main__":
    node.main()
