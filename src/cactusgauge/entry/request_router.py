"""Decides which entry answers a caller's request."""

from typing import TYPE_CHECKING

from cactusgauge import exceptions, ids, jobs, wire
from cactusgauge.entry import caller_request

if TYPE_CHECKING:
    from cactusgauge.entry import forwarder, hand_over_store, job_recovery, job_service, membership

OWNER_UNREACHABLE_STATUS = 502  # tells the entry that forwarded a request that this one cannot reach the owner


class RequestRouter:
    """Serves a request locally if this entry owns the session, else finds an entry that can answer it.

    It tries in order: the owner, the successor of a stopped owner, the owner through another entry, recovery.
    """

    def __init__(
        self,
        members: "membership.Membership",
        service: "job_service.JobService",
        hand_overs: "hand_over_store.HandOverStore",
        recovery: "job_recovery.JobRecovery",
        request_forwarder: "forwarder.Forwarder",
    ) -> None:
        self._members = members
        self._service = service
        self._hand_overs = hand_overs
        self._recovery = recovery
        self._forwarder = request_forwarder

    async def open_session(self, workspace: ids.WorkspaceName, hop: caller_request.Hop) -> caller_request.Reply:
        """Open a session at the preferred entry, or here if that one does not answer."""
        self._service.workspace_config(workspace)
        preferred = self._members.preferred(workspace)
        if hop is caller_request.Hop.CALLER:
            for entry in preferred:
                if entry.incarnation == self._members.own.incarnation:
                    break
                reply = await self._forwarder.open_session(entry, workspace)
                if reply is not None and reply.status < 500:
                    return reply
        session = self._service.open_session(workspace)
        return caller_request.json_reply(201, {"session": session, "workspace": workspace})

    async def handle(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        """Return the reply to a request about a job; raise a `RequestError` if it is refused."""
        session = request.job_id.session
        if ids.owner_of(session) == self._members.own.incarnation:
            return await self._serve_owned(request)
        if self._hand_overs.holds(session):
            return self._serve_handed_over(request)
        reply = await self._forward_to_owner(request)
        if reply is not None:
            return reply
        is_owner_alive = self._members.find_alive(ids.owner_of(session)) is not None
        if request.hop is caller_request.Hop.OWNER or (request.hop is caller_request.Hop.RELAY and not is_owner_alive):
            document = {"code": "owner_unreachable", "message": "", "ran": exceptions.ExecutionStatus.UNKNOWN.value}
            return caller_request.json_reply(OWNER_UNREACHABLE_STATUS, document)
        if request.hop is caller_request.Hop.CALLER:
            reply = await self._relay_through_peers(request)
            if reply is not None:
                return reply
        if is_owner_alive or self._members.find_alive(ids.owner_of(session)) is not None:
            # A recovery must not seal the session of an owner that is only slow, neither here nor at the entry that
            # requested the relay.
            raise exceptions.OwnerSlowError("the owner of the session did not answer in time; ask again")
        try:
            return await self._recover(request)
        except exceptions.JobConflictError:
            raise
        except exceptions.RequestError as error:
            # The lost owner may have run the job, even if there is no record of it here.
            error.ran = exceptions.ExecutionStatus.UNKNOWN
            raise

    async def _serve_owned(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        workspace, job_id = request.workspace, request.job_id
        match request.method:
            case caller_request.Method.SUBMIT:
                # Attach before parsing: for a job that was accepted under earlier limits, a refusal by the current ones
                # would wrongly state that nothing ran.
                job = self._service.attach(workspace, job_id, request.body) or self._service.submit(
                    workspace, job_id, self._service.parse(workspace, request.body)
                )
            case caller_request.Method.GET:
                job = self._service.find(workspace, job_id)
            case caller_request.Method.CANCEL:
                job = self._service.cancel(workspace, job_id)
        if await job.wait_finished(request.wait_s):
            return caller_request.Reply(200, job.response().as_json())
        return self._running_reply(job_id, job.open_count)

    def _serve_handed_over(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        digest = None
        if request.method is caller_request.Method.SUBMIT:
            digest = jobs.JobRequestParser.digest(request.body)
        return caller_request.Reply(200, self._hand_overs.find(request.job_id, request.workspace, digest).answer)

    async def _forward_to_owner(self, request: caller_request.CallerRequest) -> caller_request.Reply | None:
        if request.hop is caller_request.Hop.OWNER:
            return None
        owner = ids.owner_of(request.job_id.session)
        target = self._hand_overs.successor(owner) or owner
        entry = self._members.find_alive(target)
        if entry is None:
            return None
        reply = await self._forward(entry, request, caller_request.Hop.OWNER)
        if reply is not None and reply.status == OWNER_UNREACHABLE_STATUS:
            return None
        return reply

    async def _relay_through_peers(self, request: caller_request.CallerRequest) -> caller_request.Reply | None:
        for entry in self._members.alive_peers:
            reply = await self._forward(entry, request, caller_request.Hop.RELAY)
            if reply is not None and reply.status != OWNER_UNREACHABLE_STATUS:
                return reply
        return None

    async def _recover(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        workspace = request.workspace
        has_linked_agents = any(worker.link for worker in self._service.dispatcher(workspace).workers)
        if not has_linked_agents and request.hop is caller_request.Hop.CALLER:
            for entry in self._members.preferred(workspace):
                if entry.incarnation == self._members.own.incarnation:
                    continue
                reply = await self._forward(entry, request, caller_request.Hop.RECOVER)
                if reply is not None:
                    return reply
        job_request: jobs.JobRequest | None = None
        if request.method is caller_request.Method.SUBMIT:
            job_request = self._service.parse_resubmitted(request.body)
        answer = await self._recovery.recover(workspace, request.job_id, job_request, request.wait_s)
        if answer is None:
            return self._running_reply(request.job_id, 0)  # 0, as a recovery does not return the number of open tasks
        return caller_request.Reply(200, answer.as_json())

    async def _forward(
        self, entry: wire.EntryInfo, request: caller_request.CallerRequest, hop: caller_request.Hop
    ) -> caller_request.Reply | None:
        def is_alive() -> bool:
            return self._members.find_alive(entry.incarnation) is not None

        return await self._forwarder.forward(entry, request, hop, is_alive)

    @staticmethod
    def _running_reply(job_id: ids.JobId, open_count: int) -> caller_request.Reply:
        state = jobs.JobState.RUNNING.value
        document = {"session": job_id.session, "job": job_id.number, "state": state, "open_tasks": open_count}
        return caller_request.json_reply(202, document)
