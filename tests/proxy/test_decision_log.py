"""The decision log that LB_TRACE enables: one line for each event and action, without timers."""

from __future__ import annotations

import io

from pipitshed.proxy.decision_log import DecisionLog, format_line
from pipitshed.scheduling.actions import SetTimer, StartAttempt
from pipitshed.scheduling.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointsUpdated,
    Outcome,
    TimerFired,
    UpdateKind,
)


def test_a_line_contains_the_name_and_the_fields_that_are_not_empty() -> None:
    text = format_line(12.34, "<", AttemptFinished(7, 1, b"s-1", Outcome.ERROR, 18.25, False))
    assert text == "12.3 < Finished job=7 attempt=1 worker=s-1 outcome=ERROR elapsed=18.2 settled=False"


def test_record_omits_timers_and_shortens_endpoint_entries() -> None:
    out = io.StringIO()
    update = EndpointsUpdated(UpdateKind.CACHED, 3, (EndpointEntry(b"s-1", zone=1, started_at_ms=5.0),))
    DecisionLog(out).record(1.0, [update, TimerFired(4)], [SetTimer(5, 10.0), StartAttempt(9, b"s-1")])
    assert out.getvalue().splitlines() == [
        "1.0 < ListNews kind=CACHED version=3 entries=s-1:READY:1:5",
        "1.0 > Send job=9 worker=s-1 timeout=0.0 write_within=0.0",
    ]
