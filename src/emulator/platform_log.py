"""An emulated log of the platform as a process; tests inject faults through the resource `/faults`."""

import asyncio
import base64
import signal

import click
import falcon.asgi
import pydantic

from cactusgauge import exceptions, http_server
from cactusgauge.log_service import http_log_service
from emulator import memory_log

FAULTS_PATH = "/faults"
TRIM_PATH = "/v1/streams/{stream}/trim"
MAX_READ_RECORDS = 1000


class PlatformLog:
    """HTTP resources for streams in memory."""

    def __init__(self, log: memory_log.MemoryLog) -> None:
        self._log = log

    def add_to(self, app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]") -> None:
        """Add all routes to an application."""
        app.add_route(http_log_service.RECORDS_PATH, self, suffix="records")
        app.add_route(TRIM_PATH, self, suffix="trim")
        app.add_route(FAULTS_PATH, self, suffix="faults")

    async def on_post_records(self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str) -> None:
        """Append a record."""
        data = await request.stream.read()
        try:
            response.media = {"offset": await self._log.append(stream, data)}
            response.status = 201
        except exceptions.LogServiceError as error:
            self._write_unavailable(response, error)

    async def on_get_records(self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str) -> None:
        """Read records from an offset."""
        offset = request.get_param_as_int("from", required=True, min_value=0)
        limit = request.get_param_as_int("limit", default=MAX_READ_RECORDS, min_value=1, max_value=MAX_READ_RECORDS)
        try:
            page = await self._log.read(stream, offset, limit)
        except exceptions.LogServiceError as error:
            self._write_unavailable(response, error)
            return
        records = [{"offset": record.offset, "data": base64.b64encode(record.data).decode()} for record in page.records]
        response.media = {"first": page.first_offset, "end": page.end_offset, "records": records}

    async def on_post_trim(self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str) -> None:
        """Remove the records below `?first=OFFSET`."""
        self._log.trim(stream, request.get_param_as_int("first", required=True, min_value=0))
        response.status = 204

    async def on_get_faults(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with the active faults."""
        response.media = self._log.faults.model_dump()

    async def on_put_faults(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Replace the active faults; a fault that is left out is disabled."""
        try:
            self._log.faults = memory_log.LogFaults.model_validate_json(await request.stream.read())
        except pydantic.ValidationError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        response.media = self._log.faults.model_dump()

    @staticmethod
    def _write_unavailable(response: falcon.asgi.Response, error: exceptions.LogServiceError) -> None:
        response.status = 503
        response.media = {"message": str(error)}


async def _serve(host: str, port: int) -> None:
    app = falcon.asgi.App()
    PlatformLog(memory_log.MemoryLog()).add_to(app)
    server = http_server.HttpServer(app, host, port)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, server.stop)
    await server.run_until_stopped()


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
def main(host: str, port: int) -> None:
    """Run an emulated log of the platform; its streams are lost when the process ends."""
    asyncio.run(_serve(host, port))


if __name__ == "__main__":
    main()
