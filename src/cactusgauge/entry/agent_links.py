"""Links from agents to an entry."""

import asyncio
import itertools
from typing import TYPE_CHECKING

from cactusgauge import dispatch, exceptions, ids, wire

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.entry import job_service, membership

SEAL_REPLY_S = 2.0  # an agent that does not answer in time only leaves tasks unknown


class AgentLinks:
    """Serves the links of agents: handshake, results, and sealing of sessions."""

    def __init__(
        self,
        members: "membership.Membership",
        service: "job_service.JobService",
        events: "observability.EventRing",
    ) -> None:
        self._members = members
        self._service = service
        self._events = events
        self._request_numbers = itertools.count(1)
        self._seal_replies: dict[int, asyncio.Future[wire.Sealed]] = {}
        self._workers: dict[ids.AgentIncarnation, dispatch.RemoteWorker] = {}

    async def serve(self, link: wire.Link, hello: wire.AgentHello) -> None:
        """Serve one agent's link until it closes."""
        link.workspace = hello.workspace
        dispatcher = self._service.dispatcher(hello.workspace)
        worker = dispatcher.find_or_create_worker(hello)
        own, welcomed = self._members.own, self._members.alive
        link.post(wire.Welcome(wire.PROTOCOL_VERSION, own.name, own.incarnation, worker.last_result_number, welcomed))
        resume = await link.receive()
        if not isinstance(resume, wire.Resume):
            raise exceptions.ProtocolError("Resume expected")
        dispatcher.attach(worker, link, resume)
        # Not before, as the end of the agent's previous link removes the entry.
        self._workers[hello.incarnation] = worker
        if self._members.alive != welcomed:  # a change during the handshake was not broadcast to this agent
            link.post(wire.Entries(self._members.alive))
        self._post_configuration(dispatcher.workspace, worker)
        self._events.record_state("agent_linked", agent=hello.name, incarnation=hello.incarnation)
        try:
            while True:
                self._take(dispatcher, worker, await link.receive())
        finally:
            dispatcher.detach(worker, link)
            if worker.link is None:
                self._workers.pop(hello.incarnation, None)
            self._events.record_state("agent_unlinked", agent=hello.name, incarnation=hello.incarnation)

    def heartbeat(self, hello: wire.AgentHello) -> wire.Message | None:
        """Return the heartbeat for an agent's link, None before the handshake."""
        worker = self._workers.get(hello.incarnation)
        return worker.heartbeat(self._service.dispatcher(hello.workspace).queued_count) if worker is not None else None

    def broadcast_entries(self) -> None:
        """Tell all linked agents which entries are alive."""
        message = wire.Entries(self._members.alive)
        for _, link in self._linked_workers():
            link.post(message)

    async def acknowledge_results(self) -> None:
        """Acknowledge at once what all agents reported, as one that is being stopped waits for that."""
        linked = self._linked_workers()
        for worker, link in linked:
            link.post(worker.heartbeat(0))
        await wire.Link.drain(link for _, link in linked)

    def broadcast_configuration(self) -> None:
        """Tell all linked agents their part of the configuration in force."""
        for dispatcher in self._service.dispatchers:
            for worker in dispatcher.workers:
                self._post_configuration(dispatcher.workspace, worker)

    async def seal(self, workspace: ids.WorkspaceName, job_id: ids.JobId) -> list[wire.Sealed]:
        """Seal a session at all linked agents of a workspace; return the replies that came in time."""
        replies = []
        for worker in self._service.dispatcher(workspace).workers:
            if worker.link is None:
                continue
            request = next(self._request_numbers)
            self._seal_replies[request] = asyncio.get_running_loop().create_future()
            replies.append(request)
            worker.link.post(wire.Seal(request, job_id.session, job_id.number))
        futures = [self._seal_replies[request] for request in replies]
        try:
            if futures:
                await asyncio.wait(futures, timeout=SEAL_REPLY_S)
        finally:  # a caller that disconnects cancels the recovery
            for request in replies:
                del self._seal_replies[request]
        return [future.result() for future in futures if future.done()]

    def _post_configuration(self, workspace: ids.WorkspaceName, worker: dispatch.RemoteWorker) -> None:
        message = self._service.agent_config(workspace, worker.data_centre)
        if message is not None and worker.link is not None:
            worker.link.post(message)

    def _linked_workers(self) -> list[tuple[dispatch.RemoteWorker, wire.Link]]:
        return [
            (worker, worker.link)
            for dispatcher in self._service.dispatchers
            for worker in dispatcher.workers
            if worker.link is not None
        ]

    def _take(self, dispatcher: dispatch.Dispatcher, worker: dispatch.RemoteWorker, message: wire.Message) -> None:
        match message:
            case wire.Results():
                dispatcher.handle_results(worker, message)
            case wire.AgentState():
                dispatcher.handle_agent_state(worker, message)
            case wire.Heartbeat():
                worker.acknowledge(message.ack)
            case wire.Sealed():
                future = self._seal_replies.get(message.request)
                if future is not None and not future.done():
                    future.set_result(message)
            case _:
                raise exceptions.ProtocolError(f"unexpected {type(message).__name__} from an agent")
