"""Links from agents to an entry."""

import asyncio
import itertools
from typing import TYPE_CHECKING

from cactusgauge import dispatch, exceptions, ids, wire

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.entry import job_service, membership

SEAL_REPLY_TIMEOUT_S = 2.0  # the tasks of an agent that does not reply in time are merely reported as unknown


class AgentLinks:
    """Serves links from agents: handshake, results and sealing of sessions."""

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
        self._pending_seals: dict[int, asyncio.Future[wire.Sealed]] = {}
        self._workers: dict[ids.AgentIncarnation, dispatch.RemoteWorker] = {}

    async def serve(self, link: wire.Link, hello: wire.AgentHello) -> None:
        """Serve one agent's link until it closes."""
        link.workspace = hello.workspace
        dispatcher = self._service.dispatcher(hello.workspace)
        worker = dispatcher.find_or_create_worker(hello)
        own, sent_entries = self._members.own, self._members.alive
        link.post(
            wire.Welcome(wire.PROTOCOL_VERSION, own.name, own.incarnation, worker.last_result_number, sent_entries)
        )
        resume = await link.receive()
        if not isinstance(resume, wire.Resume):
            raise exceptions.ProtocolError(f"expected Resume after Welcome, got {type(resume).__name__}")
        dispatcher.attach(worker, link, resume)
        # Only after `attach`: until then, the end of the agent's previous link would remove this item.
        self._workers[hello.incarnation] = worker
        if self._members.alive != sent_entries:  # a change during the handshake was not broadcast to this agent
            link.post(wire.Entries(self._members.alive))
        self._post_configuration(dispatcher.workspace, worker)
        self._events.record_state("agent_linked", agent=hello.name, incarnation=hello.incarnation)
        try:
            while True:
                self._handle_message(dispatcher, worker, await link.receive())
        finally:
            dispatcher.detach(worker, link)
            if worker.link is None:
                self._workers.pop(hello.incarnation, None)
            self._events.record_state("agent_unlinked", agent=hello.name, incarnation=hello.incarnation)

    def heartbeat(self, hello: wire.AgentHello) -> wire.Message | None:
        """Return the heartbeat for an agent's link, or None before the handshake is complete."""
        worker = self._workers.get(hello.incarnation)
        return worker.heartbeat(self._service.dispatcher(hello.workspace).queued_count) if worker is not None else None

    def broadcast_entries(self) -> None:
        """Send the list of live entries to all linked agents."""
        message = wire.Entries(self._members.alive)
        for _, link in self._linked_workers():
            link.post(message)

    async def acknowledge_results(self) -> None:
        """Acknowledge all reported results now, as an agent that is being stopped waits for it; announce no demand."""
        linked = self._linked_workers()
        for worker, link in linked:
            link.post(worker.heartbeat(0))
        await wire.Link.drain(link for _, link in linked)

    def broadcast_configuration(self) -> None:
        """Send each linked agent its part of the configuration in force."""
        for dispatcher in self._service.dispatchers:
            for worker in dispatcher.workers:
                self._post_configuration(dispatcher.workspace, worker)

    async def seal(self, workspace: ids.WorkspaceName, job_id: ids.JobId) -> list[wire.Sealed]:
        """Seal a session at all linked agents of a workspace; return the replies that arrive in time."""
        requests = []
        for worker in self._service.dispatcher(workspace).workers:
            if worker.link is None:
                continue
            request = next(self._request_numbers)
            self._pending_seals[request] = asyncio.get_running_loop().create_future()
            requests.append(request)
            worker.link.post(wire.Seal(request, job_id.session, job_id.number))
        futures = [self._pending_seals[request] for request in requests]
        try:
            if futures:
                await asyncio.wait(futures, timeout=SEAL_REPLY_TIMEOUT_S)
        finally:  # also when the caller disconnects, which cancels the recovery
            for request in requests:
                del self._pending_seals[request]
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

    def _handle_message(
        self, dispatcher: dispatch.Dispatcher, worker: dispatch.RemoteWorker, message: wire.Message
    ) -> None:
        match message:
            case wire.Results():
                dispatcher.handle_results(worker, message)
            case wire.AgentState():
                dispatcher.handle_agent_state(worker, message)
            case wire.Heartbeat():
                worker.acknowledge(message.ack)
            case wire.Sealed():
                future = self._pending_seals.get(message.request)
                if future is not None and not future.done():
                    future.set_result(message)
            case _:
                raise exceptions.ProtocolError(f"unexpected message {type(message).__name__} from an agent")
