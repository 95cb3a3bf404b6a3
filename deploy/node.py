"""Starts a process of cactusgauge from the source tree."""

import gc
import os
import pathlib
import sys

gc.disable()  # until all modules are imported, which creates many objects and hardly any garbage

# All calls are plain HTTP; without this, importing aiohttp loads the certificates of the system.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cactusgauge.platform import node

if __name__ == "__main__":
    gc.enable()
    node.main()
