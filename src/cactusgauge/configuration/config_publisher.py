"""Publishes changes on the log and determines their outcome."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge import exceptions

if TYPE_CHECKING:
    from cactusgauge.configuration import change_record, config_log
    from cactusgauge.configuration import verdict as verdict_module

RETRY_DELAY_S = 0.5


class ConfigPublisher:
    """Appends a change, then determines its verdict by the same rule as every other reader of the log."""

    def __init__(self, log: "config_log.ConfigLog") -> None:
        self._log = log

    async def publish(self, change: "change_record.ChangeRecord", timeout_s: float) -> "verdict_module.Verdict":
        """Publish a change and return its verdict; raise `PublishError` if the verdict is not known before the timeout.

        An append without a reply is retried. This is safe because a change id takes effect at most once.
        """
        appended = False
        failure = "no reply"
        deadline = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    # Read first: if only the reply was lost, the change is on the log and needs no retry.
                    await self._log.catch_up()
                    verdict = self._log.state.find_verdict(change.id)
                    if verdict is not None:
                        return verdict
                    if not appended:
                        await self._log.append_change(change)
                        appended = True
                        continue
            except exceptions.LogServiceError as error:
                failure = str(error)
            except TimeoutError:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        raise exceptions.PublishError(
            f"outcome of the change still unknown after {timeout_s:g} s ({failure}); "
            f"publish it again with --change-id {change.id} to find out"
        )
