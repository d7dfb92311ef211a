"""The simulator's codec, on the bytes in the protocol's description and on malformed input."""

import json
import struct

import pytest

from pipitshed.scheduling import actions, events
from pipitshed.scheduling.settings import DeduplicationScope, Idempotency, JobClass, WeightKind
from pipitshed.simulator import wire
from pipitshed.upstream.http import ordered_report, parse_load_report

BATCH = bytes.fromhex(
    "03000000 4c000000 00000000206ec040"
    "09 03000000 c4913a5d1e900500 0000000000006e40 0000 0000c03f 0000000000002840 640ad2557c3bf091 01 0000"
    "00000040"
    "01 03000000 4d00000000000000"
    "07 05000000 192b6f0e109c0f00"
)
REPLY = bytes.fromhex(
    "48000000 03000000"
    "41 03000000 c4913a5d1e900500 0a124a07 431f 0000000000005440"
    "45 03000000 4d00000000000000 0000000000407f40"
    "49 05000000 1100 74776f2073657276657273206b6e6f776e"
)
WORKER = bytes.fromhex("0a124a07431f")
JOB = 0x5901E5D3A91C4


def decode(records: str) -> list[tuple[int, wire.WireEvent]]:
    body = bytes.fromhex(records)
    return wire.decode_batch(1, body)


def test_the_example_batch_of_the_protocol_description() -> None:
    count, length, now = wire.HEADER.unpack_from(BATCH)
    assert (count, length, now) == (3, len(BATCH) - 16, 8412.25)
    job_submitted, timer, withdrawn = wire.decode_batch(count, BATCH[16:])
    number = struct.unpack("<Q", bytes.fromhex("c4913a5d1e900500"))[0]
    assert job_submitted == (
        3,
        events.JobSubmitted(number, 240.0, 0, 0, 2.0, 1.5, 12.0, 0x91F03B7C55D20A64, False),
    )
    assert timer == (3, events.TimerFired(77))
    assert withdrawn[0] == 5 and isinstance(withdrawn[1], events.JobWithdrawn)


def test_the_example_reply_of_the_protocol_description() -> None:
    number = struct.unpack("<Q", bytes.fromhex("c4913a5d1e900500"))[0]
    records = [
        wire.encode_action(3, actions.StartAttempt(number, WORKER, 80.0)),
        wire.encode_action(3, actions.SetTimer(77, 500.0)),
        wire.encode_action(5, actions.LogLine("two servers known")),
    ]
    assert wire.encode_reply(records) == REPLY


def test_the_example_endpoint_list_and_outcome_of_the_protocol_description() -> None:
    [(instance, update)] = decode(
        "08 03000000 03 2900000000000000 02000000"
        "0000 0000000000000000 00 0a124a07 431f 0000803f 01 0000"
        "0000 0000000000d4b740 00 0a9011f2 6c1f 0000c03f 01 0100"
    )
    assert instance == 3
    assert update == events.EndpointsUpdated(
        events.UpdateKind.CACHED,
        41,
        (
            events.EndpointEntry(WORKER),
            events.EndpointEntry(bytes.fromhex("0a9011f26c1f"), 1, 0, 0, 1.5, 6100.0),
        ),
    )
    [(_, finished)] = decode("0a 03000000 c4913a5d1e900500 0000 0a124a07 431f 01 0000000000803240 01 00 00")
    assert isinstance(finished, events.AttemptFinished)
    assert (finished.outcome, finished.elapsed_ms, finished.answered, finished.load_report) == (
        events.Outcome.OK,
        18.5,
        True,
        (),
    )


def test_events_without_an_example() -> None:
    head = struct.pack("<I", 2)
    progress = b"\x05" + head + struct.pack("<Qf6sBH", 9, 0.5, WORKER, 2, 1)
    probe = b"\x06" + head + struct.pack("<6sdBB2f", WORKER, 3.0, 1, 2, 4.0, 0.5)
    peer_message = b"\x04" + head + struct.pack("<HH", 7, 2) + b"hi"
    response_started = b"\x0b" + head + struct.pack("<QH6sd", 9, 1, WORKER, 4.0)
    stop_instance = b"\x02" + head
    decoded = [
        event
        for _, event in wire.decode_batch(
            5, progress + probe + peer_message + response_started + stop_instance
        )
    ]
    assert decoded == [
        events.AttemptProgressed(9, 1, WORKER, 2, 0.5),
        events.ProbeFinished(WORKER, 3.0, events.Outcome.OK, (4.0, 0.5)),
        events.PeerMessageReceived(7, b"hi"),
        events.ResponseStarted(9, 1, WORKER, 4.0),
        wire.InstanceStopped(),
    ]


@pytest.mark.parametrize(
    ("action", "record"),
    [
        (actions.RejectRequest(9, 2.0), struct.pack("<BIQd", 66, 2, 9, 2.0)),
        (actions.FailRequest(9), struct.pack("<BIQ", 67, 2, 9)),
        (actions.CancelAttempt(9, 1), struct.pack("<BIQH", 68, 2, 9, 1)),
        (actions.ProbeWorker(WORKER), struct.pack("<BI6s", 70, 2, WORKER)),
        (actions.CloseIdleConnections(WORKER), struct.pack("<BI6s", 71, 2, WORKER)),
        (actions.SendPeerMessage(None, b"hi 7"), bytes.fromhex("48 02000000 ffff 0400 68692037")),
        (actions.SendPeerMessage(4, b""), bytes.fromhex("48 02000000 0400 0000")),
        (actions.WatchEndpoints(True), bytes.fromhex("4b 02000000 01")),
        (actions.FetchEndpoints(), bytes.fromhex("4c 02000000")),
    ],
)
def test_each_action_is_encoded(action: actions.Action, record: bytes) -> None:
    assert wire.encode_action(2, action) == record


@pytest.mark.parametrize(
    ("count", "body", "message"),
    [
        (1, "63 01000000", "unknown event code 99"),
        (1, "01 01000000 4d", "ends before its last field"),
        (0, "01", "left over"),
        (
            1,
            "0a 03000000 c4913a5d1e900500 0000 0a124a07 431f 09 0000000000803240 01 00 00",
            "unknown outcome 9",
        ),
        (1, "0a 03000000 c4913a5d1e900500 0000 0a124a07 431f 01 000000000000f07f 01 00 00", "not a finite"),
        (1, "0a 03000000 c4913a5d1e900500 0000 0a124a07 431f 01 0000000000803240 01 00 02", "ends before"),
        (1, "08 03000000 07 2900000000000000 00000000", "unknown list mode 7"),
        (1, "08 03000000 01 2900000000000000 ffffffff", "ends before"),
    ],
)
def test_malformed_records_are_rejected(count: int, body: str, message: str) -> None:
    with pytest.raises(wire.WireError, match=message):
        wire.decode_batch(count, bytes.fromhex(body))


def settings_json(**changes: object) -> bytes:
    base: dict[str, object] = {"services": [{"goalTime": 300.0, "deadline": 7500.0}]}
    return json.dumps(base | changes).encode()


def test_settings_defaults_and_unknown_keys() -> None:
    settings = wire.settings_from_json(settings_json(novelty={"a": 1}))
    assert settings.classes == (JobClass(300.0, 7500.0, deduplication_scope=DeduplicationScope.CELL),)
    assert settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT  # the default permits no retry
    assert settings.limits.max_attempts == 1 and not settings.limits.may_probe


def test_settings_are_translated() -> None:
    settings = wire.settings_from_json(
        settings_json(
            services=[{"goalTime": 1, "deadline": 2, "repeat": "dedup", "keyScope": "zone", "window": 5}],
            familyInfo={"classKind": [1], "classStretch": [2.0], "classPriority": [1], "tellsStart": True},
            stats={"source": "inline", "fields": ["x0", "depth", "novel"]},
            weights="live",
            discovery="on_request",
            areas=["a", "b"],
            locality=1,
            tenants=[{"allowancePerS": 31.0, "share": 0.5}],
        )
    )
    cls = settings.classes[0]
    assert (
        cls.idempotency,
        cls.deduplication_scope,
        cls.worker_kind,
        cls.latency_objective_per_work,
        cls.priority,
    ) == (
        Idempotency.IDEMPOTENT_WITH_KEY,
        DeduplicationScope.ZONE,
        1,
        2.0,
        1,
    )
    assert settings.report_fields == ("free_slots", "queue", "")
    assert (
        settings.weight_kind is WeightKind.LIVE
        and settings.endpoints_polled
        and settings.workers_report_start
    )
    assert (settings.own_zone, settings.zone_count, settings.tenants[0].quota_per_s) == (1, 2, 31.0)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"services": []}, "services"),
        ({"services": [{"goalTime": 300.0}]}, r"services\[0\].deadline"),
        ({"services": [{"goalTime": -1, "deadline": 2}]}, r"services\[0\].goalTime"),
        ({"services": [{"goalTime": 1, "deadline": 2, "repeat": "maybe"}]}, r"services\[0\].repeat"),
        ({"permissions": {"maxAttempts": 0}}, "permissions.maxAttempts"),
        ({"permissions": {"cancel": "yes"}}, "permissions.cancel"),
        ({"rules": {"coldFrom": 2}}, "rules.coldFrom"),
        ({"siblings": 1.5}, "siblings"),
        ({"weights": "heavy"}, "weights"),
        ({"areas": ["a"], "locality": 1}, "locality"),
        ({"tick": None}, "tick"),
    ],
)
def test_invalid_settings_are_rejected_by_key(changes: dict[str, object], key: str) -> None:
    with pytest.raises(wire.WireError, match=key):
        wire.settings_from_json(settings_json(**changes))


@pytest.mark.parametrize("data", [b"", b"{", b"[1]", b"\xff"])
def test_settings_other_than_an_object_are_rejected(data: bytes) -> None:
    with pytest.raises(wire.WireError):
        wire.settings_from_json(data)


@pytest.mark.parametrize("value", [b"nan", b"inf", b"-inf", b"1e999"])
def test_a_load_report_with_a_value_that_is_not_finite_is_ignored(value: bytes) -> None:
    """Guards against a worker's report that raises in the decisions: the events of that moment were lost."""
    assert parse_load_report(b"TEXT x0=2, depth=" + value, ["depth", "x0"]) == ()


def test_a_load_report_that_lacks_a_field_is_ignored() -> None:
    """Guards against a missing field that is read as 0 and makes a worker look full or idle."""
    assert ordered_report({"x0": 2.0, "depth": 1.0}, ["depth", "x0"]) == (1.0, 2.0)
    assert ordered_report({"x0": 2.0}, ["depth", "x0"]) == () == ordered_report({}, ["x0"])
    assert parse_load_report(b"TEXT x0=2", ["depth", "x0"]) == () and parse_load_report(
        b"TEXT x0=2", ["x0"]
    ) == (2.0,)
