"""Client of the platform's store."""

import base64
import json
import struct

import aiohttp

from cactusgauge import fleet
from cactusgauge.fleet import config_follower

CALL_TIMEOUT_S = 1.5
WAIT_TIMEOUT_MARGIN_S = 0.6  # added to the time that the store was asked to wait for a record
SLOW_CALL_S = 0.25  # longest time of a call on a new connection, while the store is slow
# From the silence of all open connections to the newest configuration: a call in flight, then one on a new connection.
SILENCE_BOUND_S = (
    max(config_follower.LONG_POLL_S + WAIT_TIMEOUT_MARGIN_S, CALL_TIMEOUT_S) + config_follower.RETRY_S + SLOW_CALL_S
)
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENTRY_TOPIC = "keyed.entries"
MAX_READ_KB = 1024
READ_HEADER = struct.Struct(">QQ")  # at the start of a read reply: end offset and first retained offset
RECORD_LENGTH = struct.Struct(">I")  # in bytes, before each record of a read reply or an append
MAX_PAGES = 50


def new_session() -> aiohttp.ClientSession:
    """Return an HTTP session for the calls to the store.

    No connection is used twice: idle ones may go silent unnoticed, and each would cost a time-out.
    """
    return aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), connector=aiohttp.TCPConnector(force_close=True))


class Store(fleet.ConfigStore, fleet.EntryDirectory):
    """Reads the configuration and stores the addresses of entries; failed HTTP calls are not retried here."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def newest(self) -> fleet.ConfigBatch:
        """Return the newest configuration and a cursor for the changes after it."""
        items, end = await self._newest_records(CONFIG_TOPIC)
        bodies = [value for key, _, value in items if key == CONFIG_KEY and value]
        return fleet.ConfigBatch(bodies, end)

    async def changes(self, cursor: int, wait_s: float) -> fleet.ConfigBatch:
        """Return the configurations after a cursor, waiting up to `wait_s` for one."""
        query = {
            "topic": CONFIG_TOPIC,
            "part": "0",
            "from": str(cursor),
            "max_kb": str(MAX_READ_KB),
            "wait_ms": str(int(wait_s * 1000)),
        }
        status, content = await self._call("GET", "/-/log-read", query, None, wait_s + WAIT_TIMEOUT_MARGIN_S)
        if status == 410:
            raise fleet.CursorLostError(f"records from offset {cursor} are no longer retained")
        if status != 200:
            raise fleet.StoreUnavailableError(f"store returned status {status} for a read")
        records = _split_records(content)
        bodies = [value for key, value in map(_split_key, records) if key == CONFIG_KEY and value]
        return fleet.ConfigBatch(bodies, cursor + len(records))

    async def publish(self, link_url: str) -> None:
        """Publish an entry's link URL; it is the key of the record, and the value is not used."""
        await self.put(ENTRY_TOPIC, link_url, b"1")

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record with a key of at most 255 bytes and return its offset."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        query = {"topic": topic, "part": "0"}
        status, content = await self._call(
            "POST", "/-/log-append", query, RECORD_LENGTH.pack(len(record)) + record, CALL_TIMEOUT_S
        )
        if status != 200:
            raise fleet.StoreUnavailableError(f"store returned status {status} for an append")
        try:
            return int(json.loads(content)["offset"])
        except (ValueError, KeyError, TypeError) as error:
            raise fleet.StoreUnavailableError("store returned an invalid response to an append") from error

    async def newest_values(self, topic: str) -> list[tuple[int, bytes]]:
        """Return the offset and value of the newest record of each key."""
        items, _ = await self._newest_records(topic)
        return [(offset, value) for _, offset, value in items]

    async def entries(self) -> list[fleet.EntryRecord]:
        """Return all published entries."""
        items, _ = await self._newest_records(ENTRY_TOPIC)
        return [fleet.EntryRecord(key, offset) for key, offset, _ in items]

    async def _newest_records(self, topic: str) -> tuple[list[tuple[str, int, bytes]], int]:
        """Return key, offset and value of the newest record of each key, and the end offset of the topic."""
        items: list[tuple[str, int, bytes]] = []
        end: int | None = None
        query = {"topic": topic, "part": "0"}
        for _ in range(MAX_PAGES):
            status, content = await self._call("GET", "/-/log-newest", query, None, CALL_TIMEOUT_S)
            if status != 200:
                raise fleet.StoreUnavailableError(f"store returned status {status} for a read of {topic}")
            try:
                page = json.loads(content)
                rows = page["items"]
                # Records may be appended between two pages, so the cursor is the end offset of the first page.
                end = int(page["end"]) if end is None else end
                items += [record for record in map(_decode_row, rows) if record is not None]
            except (ValueError, KeyError, TypeError, RecursionError) as error:
                raise fleet.StoreUnavailableError(f"store returned an invalid page of {topic}") from error
            if not page.get("has_more") or not rows:
                break
            if not items:
                raise fleet.StoreUnavailableError(f"store returned no readable record of {topic}")
            query["depends_on"] = items[-1][0]  # the platform's name for the key after which to continue
        return items, end or 0

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        try:
            async with self._session.request(
                method,
                self._url + path,
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                return response.status, await response.read()
        except TimeoutError as error:
            raise fleet.StoreUnavailableError(f"store: no response to {path} within {timeout_s} s") from error
        except (aiohttp.ClientError, OSError) as error:
            raise fleet.StoreUnavailableError(f"store: {error or type(error).__name__}") from error


def _decode_row(row: object) -> tuple[str, int, bytes] | None:
    """Return key, offset and value of a row of a page, or None for one that another writer left unreadable."""
    if not isinstance(row, dict):
        return None
    key, offset, value = row.get("key"), row.get("offset"), row.get("value") or ""
    if not isinstance(key, str) or type(offset) is not int or not isinstance(value, str):
        return None
    try:
        return key, offset, base64.b64decode(value)
    except ValueError:
        return None


def _split_records(content: bytes) -> list[bytes]:
    """Return the records in a read reply: a header, then the length and the bytes of each record."""
    records = []
    position = READ_HEADER.size
    while position + RECORD_LENGTH.size <= len(content):
        (length,) = RECORD_LENGTH.unpack_from(content, position)
        position += RECORD_LENGTH.size
        records.append(content[position : position + length])
        position += length
    return records


def _split_key(record: bytes) -> tuple[str, bytes]:
    """Return key and value of a record; its first byte is the length of the key."""
    if not record:
        return "", b""
    length = record[0]
    return record[1 : 1 + length].decode(errors="replace"), record[1 + length :]
