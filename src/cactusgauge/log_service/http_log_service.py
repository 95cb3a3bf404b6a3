"""HTTP client of the platform's log.

Protocol: `POST /v1/streams/{stream}/records` with the record as body returns 201 with `{"offset": n}`;
`GET` on the same URL with the query parameters `from` and `limit` returns 200 with `{"first": n, "end": n, "records":
[{"offset": n, "data": "<base64>"}]}`, where `first` is the first retained offset and `end` the offset of the next
append. Any other status means that the request may or may not have taken effect.
"""

import base64
import binascii
from typing import Annotated

import aiohttp
import pydantic

from cactusgauge import exceptions
from cactusgauge.log_service import log_service

RECORDS_PATH = "/v1/streams/{stream}/records"
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 10.0  # long enough to read from a log that is not down but takes seconds to respond


def _decode_base64(text: object) -> bytes:
    if not isinstance(text, str):
        raise ValueError("base64 text is expected")
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError("base64 text is expected") from error


class _AppendReply(pydantic.BaseModel):
    offset: int = pydantic.Field(ge=0)


class _Record(pydantic.BaseModel):
    offset: int = pydantic.Field(ge=0)
    data: Annotated[bytes, pydantic.BeforeValidator(_decode_base64)]


class _Page(pydantic.BaseModel):
    first: int = pydantic.Field(ge=0)
    end: int = pydantic.Field(ge=0)
    records: list[_Record]


class HttpLogService(log_service.LogService):
    """Client of the platform's log.

    An append is a POST request, which aiohttp does not retry, so it stores its record at most once.
    """

    def __init__(self, http_session: aiohttp.ClientSession, url: str) -> None:
        self._http_session = http_session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        body = await self._request("POST", stream, 201, data, {})
        try:
            return _AppendReply.model_validate_json(body).offset
        except pydantic.ValidationError as error:
            raise exceptions.LogServiceError(f"log at {self._url}: invalid response to an append") from error

    async def read(self, stream: str, offset: int, limit: int) -> log_service.LogPage:
        """Return at most `limit` records, starting at `offset` or at the first retained record if that is higher."""
        body = await self._request("GET", stream, 200, None, {"from": str(offset), "limit": str(limit)})
        try:
            page = _Page.model_validate_json(body)
        except pydantic.ValidationError as error:
            raise exceptions.LogServiceError(f"log at {self._url}: invalid response to a read") from error
        records = [log_service.LogRecord(record.offset, record.data) for record in page.records]
        return log_service.LogPage(records, page.first, page.end)

    async def _request(
        self, method: str, stream: str, expected_status: int, data: bytes | None, params: dict[str, str]
    ) -> bytes:
        url = self._url + RECORDS_PATH.format(stream=stream)
        try:
            async with self._http_session.request(
                method, url, data=data, params=params, timeout=self._timeout, allow_redirects=False
            ) as response:
                body = await response.read()
                if response.status != expected_status:
                    raise exceptions.LogServiceError(f"log at {self._url}: unexpected status {response.status}")
                return body
        except TimeoutError as error:
            raise exceptions.LogServiceError(f"log at {self._url}: request timed out") from error
        except (aiohttp.ClientError, OSError) as error:
            raise exceptions.LogServiceError(f"log at {self._url}: {error or type(error).__name__}") from error
