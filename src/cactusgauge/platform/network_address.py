"""Addresses of the form HOST:PORT."""

import ipaddress
import re
from typing import Annotated

import pydantic

MAX_HOST_LENGTH = 253  # characters; the limit of DNS
MAX_PORT = 65_535
_HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*")  # an IPv4 address or a name


class Address:
    """A host and a port; raises `ValueError` for a text that names none."""

    def __init__(self, text: str) -> None:
        self.host, _, port = text.rpartition(":")
        is_port = port.isascii() and port.isdecimal() and len(port) <= 5 and 1 <= int(port) <= MAX_PORT
        if not is_port or not _is_host(self.host):
            raise ValueError(f"IP:PORT with a port from 1 to {MAX_PORT} is expected (found {text[:60]!r})")
        self.port = int(port)


def _is_host(text: str) -> bool:
    if len(text) > MAX_HOST_LENGTH:
        return False
    if not text.startswith("["):
        return _HOST.fullmatch(text) is not None
    try:
        ipaddress.IPv6Address(text[1:].removesuffix("]"))
    except ValueError:
        return False
    return text.endswith("]") and "%" not in text


def _check(text: str) -> str:
    Address(text)
    return text


Port = Annotated[int, pydantic.Field(ge=1, le=MAX_PORT, strict=True)]
AddressText = Annotated[str, pydantic.AfterValidator(_check)]
