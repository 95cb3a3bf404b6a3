"""Client of the platform's store."""

import base64
import struct
from typing import TYPE_CHECKING, Any

import aiohttp
import pydantic

from cactusgauge import fleet
from cactusgauge.fleet import config_follower
from cactusgauge.platform import json_document, network_address

if TYPE_CHECKING:
    from collections import abc

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
# An agent that reaches no entry dials all of them. Entries that are alive publish every few seconds, so their records
# are the newest; the others are of entries that have ended, or of another writer.
MAX_ENTRIES = 64
LINK_SCHEME = "ws://"
MAX_LOGGED_KEY_LENGTH = 80  # characters


class _Appended(pydantic.BaseModel):
    offset: json_document.Count


class _Expired(pydantic.BaseModel):
    first: json_document.Count  # first retained offset


class _Page(pydantic.BaseModel):
    items: list[Any]
    has_more: bool | None = None
    end: json_document.Count


def new_session() -> aiohttp.ClientSession:
    """Return an HTTP session for the calls to the store.

    No connection is used twice: idle ones may go silent unnoticed, and each would cost a time-out.
    """
    return aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), connector=aiohttp.TCPConnector(force_close=True))


class Store(fleet.ConfigStore, fleet.EntryDirectory):
    """Reads the configuration and stores the addresses of entries; failed HTTP calls are not retried here."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, log_event: "abc.Callable[..., None] | None" = None
    ) -> None:
        self._session = session
        self._url = url
        self._log_event = log_event
        self._unusable_entries = 0  # in the last read, so that only changes are logged

    async def newest(self) -> fleet.ConfigBatch:
        """Return the newest configuration and a cursor for the changes after it."""
        items, end = await self._newest_records(CONFIG_TOPIC)
        bodies = [value for key, _, value in items if key == CONFIG_KEY and value]
        return fleet.ConfigBatch(bodies, end)

    async def changes(self, cursor: int, wait_s: float) -> fleet.ConfigBatch:
        """Return the configurations after a cursor, waiting up to `wait_s` for one."""
        status, content = await self._read(CONFIG_TOPIC, cursor, wait_s)
        if status == 410:
            raise fleet.CursorLostError(f"records from offset {cursor} are no longer retained")
        records = _split_records(content)
        if records is None:
            raise fleet.CursorLostError(f"records from offset {cursor} can't be read")
        bodies = [value for key, value in map(_split_key, records) if key == CONFIG_KEY and value]
        return fleet.ConfigBatch(bodies, cursor + len(records))

    async def publish(self, link_url: str) -> None:
        """Publish an entry's link URL; it is the key of the record, and the value is not used."""
        await self.put(ENTRY_TOPIC, link_url, b"1")

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record with a key of at most 255 bytes and return its offset."""
        name = key.encode()
        return await self.append(topic, bytes([len(name)]) + name + value)

    async def append(self, topic: str, record: bytes) -> int:
        """Append a record to a topic without keys, which keeps it for some minutes, and return its offset."""
        query = {"topic": topic, "part": "0"}
        status, content = await self._call(
            "POST", "/-/log-append", query, RECORD_LENGTH.pack(len(record)) + record, CALL_TIMEOUT_S
        )
        if status != 200:
            raise fleet.StoreUnavailableError(f"store returned status {status} for an append")
        return _decode(_Appended, content).offset

    async def records_after(self, topic: str, cursor: int, wait_s: float) -> tuple[list[bytes], int]:
        """Return the retained records from a cursor on and the next cursor; wait up to `wait_s` for the first one."""
        status, content = await self._read(topic, cursor, wait_s)
        if status == 410:
            return [], _decode(_Expired, content).first
        records = _split_records(content)
        if records is None:
            raise fleet.StoreUnavailableError(f"records of {topic} from offset {cursor} can't be read")
        return records, cursor + len(records)

    async def newest_values(self, topic: str) -> list[tuple[int, bytes]]:
        """Return the offset and value of the newest record of each key."""
        items, _ = await self._newest_records(topic)
        return [(offset, value) for _, offset, value in items]

    async def entries(self) -> list[fleet.EntryRecord]:
        """Return the published entries, of which the newest MAX_ENTRIES count; other keys name no entry."""
        items, _ = await self._newest_records(ENTRY_TOPIC)
        usable = [fleet.EntryRecord(key, offset) for key, offset, _ in items if _is_link_url(key)]
        unusable = [key for key, _, _ in items if not _is_link_url(key)]
        if unusable and len(unusable) != self._unusable_entries and self._log_event is not None:
            self._log_event("entries_unusable", count=len(unusable), first=unusable[0][:MAX_LOGGED_KEY_LENGTH])
        self._unusable_entries = len(unusable)
        return sorted(usable, key=lambda record: record.revision)[-MAX_ENTRIES:]

    async def _read(self, topic: str, cursor: int, wait_s: float) -> tuple[int, bytes]:
        """Return status and content of a read; the status is 200, or 410 if the records are no longer retained."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(cursor),
            "max_kb": str(MAX_READ_KB),
            "wait_ms": str(int(wait_s * 1000)),
        }
        status, content = await self._call("GET", "/-/log-read", query, None, wait_s + WAIT_TIMEOUT_MARGIN_S)
        if status not in (200, 410):
            raise fleet.StoreUnavailableError(f"store returned status {status} for a read")
        return status, content

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
                page = json_document.read(_Page, content)
            except json_document.UnreadableError as error:
                raise fleet.StoreUnavailableError(f"store returned an invalid page of {topic}: {error}") from error
            # Records may be appended between two pages, so the cursor is the end offset of the first page.
            end = page.end if end is None else end
            items += [record for record in map(_decode_row, page.items) if record is not None]
            if not page.has_more or not page.items:
                break
            last_key = next(filter(None, map(_decode_key, reversed(page.items))), None)
            if last_key is None or last_key == query.get("depends_on"):
                raise fleet.StoreUnavailableError(f"store returned no readable key of {topic} to continue after")
            query["depends_on"] = last_key  # the platform's name for the key after which to continue
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


def _decode_key(row: object) -> str | None:
    """Return the key of a row of a page, or None for one that another writer left unreadable."""
    key = row.get("key") if isinstance(row, dict) else None
    if not isinstance(key, str):
        return None
    try:
        key.encode()
    except UnicodeEncodeError:
        return None  # a surrogate, which no request can contain
    return key


def _decode_row(row: object) -> tuple[str, int, bytes] | None:
    """Return key, offset and value of a row of a page, or None for one that another writer left unreadable."""
    key = _decode_key(row)
    if key is None or not isinstance(row, dict):
        return None
    offset, value = row.get("offset"), row.get("value") or ""
    if not isinstance(offset, int) or not json_document.is_count(offset) or not isinstance(value, str):
        return None
    try:
        return key, offset, base64.b64decode(value)
    except ValueError:
        return None


def _decode(model: type[json_document.Model], content: bytes) -> json_document.Model:
    """Return the object in a response."""
    try:
        return json_document.read(model, content)
    except json_document.UnreadableError as error:
        raise fleet.StoreUnavailableError(f"store returned an invalid response: {error}") from error


def _is_link_url(key: str) -> bool:
    """Return whether a key names an entry: the URL that `publish` writes has a host and a port only."""
    try:
        network_address.Address(key.removeprefix(LINK_SCHEME))
    except ValueError:
        return False
    return key.startswith(LINK_SCHEME)


def _split_records(content: bytes) -> list[bytes] | None:
    """Return the records in a read reply: a header, then the length and the bytes of each record.

    A last record that is cut off is left for the next read. Return None if there is no other, as no read gets past it.
    """
    if len(content) < READ_HEADER.size:
        raise fleet.StoreUnavailableError("store returned an incomplete response to a read")
    records = []
    position = READ_HEADER.size
    while position + RECORD_LENGTH.size <= len(content):
        (length,) = RECORD_LENGTH.unpack_from(content, position)
        if position + RECORD_LENGTH.size + length > len(content):
            break
        position += RECORD_LENGTH.size
        records.append(content[position : position + length])
        position += length
    return None if not records and position < len(content) else records


def _split_key(record: bytes) -> tuple[str, bytes]:
    """Return key and value of a record; its first byte is the length of the key."""
    if not record:
        return "", b""
    length = record[0]
    return record[1 : 1 + length].decode(errors="replace"), record[1 + length :]
