"""Steps of model requests that can be tested without a worker."""

import typing as t

from builders import CHEAP
from builders import a_system
from fleet_builders import make_worker
from spanshunt.admission import ChatCall
from spanshunt.chat_state import ChatAttempt
from spanshunt.chat_state import ChatRequest
from spanshunt.ids import ClassId
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import RequestId
from spanshunt.model_calls import chat_steps
from spanshunt.ports import SendFault
from spanshunt.systems.choice_rows import Choice
from spanshunt.systems.choice_rows import Rule


def make_request() -> ChatRequest:
    return ChatRequest(
        request=RequestId("r"),
        org=OrgId("museo"),
        request_class=ClassId("note"),
        began=Millis(0),
        limit=Millis(0),
        repeatable=True,
        call=t.cast(ChatCall, None),
    )


async def test_stale_connection_does_not_count_as_failure_of_worker():
    async with a_system() as system:
        steps = chat_steps(system.daemons[0].router)
        worker = make_worker("w")
        attempt = ChatAttempt(worker=worker, choice=Choice(CHEAP, Rule.ASKED, 0.0))
        steps.record_send_fault(
            make_request(), attempt, SendFault(False, "reset", stale=True)
        )
        assert worker.failures == 0
        steps.record_send_fault(make_request(), attempt, SendFault(False, "reset"))
        assert worker.failures == 1
