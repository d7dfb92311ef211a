"""The trace that LB_TRACE asks for: one line for each event and action, timers left out."""

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


def test_a_line_names_the_kind_and_the_fields_that_say_something() -> None:
    text = format_line(12.34, "<", AttemptFinished(7, 1, b"s-1", Outcome.ERROR, 18.25, False))
    assert text == "12.3 < Finished job=7 attempt=1 worker=s-1 outcome=ERROR elapsed=18.2 settled=False"


def test_a_turn_leaves_timers_out_and_tells_list_entries_briefly() -> None:
    out = io.StringIO()
    news = EndpointsUpdated(UpdateKind.CACHED, 3, (EndpointEntry(b"s-1", zone=1, started_at_ms=5.0),))
    DecisionLog(out).record(1.0, [news, TimerFired(4)], [SetTimer(5, 10.0), StartAttempt(9, b"s-1")])
    assert out.getvalue().splitlines() == [
        "1.0 < ListNews kind=CACHED version=3 entries=s-1:READY:1:5",
        "1.0 > Send job=9 worker=s-1 timeout=0.0 write_within=0.0",
    ]
