"""Translation between versions of the message form.

Messages that both versions can express survive a round trip; all others are rejected with the field's name. A
translation file that would lose data is rejected with its line.
"""

import json
from datetime import UTC, datetime, timedelta
from decimal import Decimal
from typing import Any
from urllib.parse import parse_qsl, urlencode

import pytest
from grpc_peer import TRANSLATION_TOML
from hypothesis import given, settings
from hypothesis import strategies as st

from pipitshed.proxy.request import Request
from pipitshed.translation.file import TranslationError, read
from pipitshed.translation.translator import Translator
from pipitshed.translation.values import UntranslatableError
from pipitshed.worker_api import planner_pb2 as pb

FILE = read(TRANSLATION_TOML)
TRANSLATOR = Translator(FILE, ["quote", "book"])

texts = st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), max_size=32)
weights_kg = st.decimals(0, 10**9, places=3).map(lambda value: value.normalize())
times = st.datetimes(datetime(1970, 1, 1), datetime(9999, 12, 31)).map(
    lambda value: value.replace(microsecond=value.microsecond // 1000 * 1000, tzinfo=UTC)
)
goods = st.lists(
    st.fixed_dictionaries({"sku": texts, "count": st.integers(1, 2**32 - 1)}), min_size=1, max_size=4
)
jobs_v1 = st.fixed_dictionaries(
    {"origin": texts, "destination": texts, "pallets": st.integers(1, 2**32 - 1)},
    optional={
        "weight_kg": weights_kg,
        "cutoff": times,
        "fragile": st.booleans(),
        "remark": texts,
        "goods": goods,
    },
)
jobs_v0 = st.fixed_dictionaries(
    {"from": texts, "to": texts, "plts": st.integers(1, 999)},
    optional={
        "kg": st.decimals(0, 10**6, places=1),
        "by": st.integers(0, 253402300799),
        "frag": st.sampled_from([0, 1]),
        "rem": texts,
    },
)


def as_json(job: dict[str, Any]) -> bytes:
    fields = dict(job)
    if "cutoff" in fields:
        fields["cutoff"] = fields["cutoff"].isoformat().replace("+00:00", "Z")
    weight = fields.pop("weight_kg", None)
    text = json.dumps(fields, ensure_ascii=False)
    if weight is not None:  # json.dumps would write a float, which is not exact
        text = text[:-1] + f', "weight_kg": {weight:f}}}'
    return text.encode()


@given(jobs_v1, st.sampled_from(["quote", "book"]))
def test_version_1_survives_conversion_up_and_down(job: dict[str, Any], job_class: str) -> None:
    upper = TRANSLATOR.convert(1, 2, job_class, as_json(job))
    upper_job = getattr(pb.RunRequest.FromString(upper), job_class)
    assert (upper_job.origin, upper_job.pallets) == (job["origin"], job["pallets"])
    assert upper_job.weight_g == job.get("weight_kg", 0) * 1000
    round_trip = json.loads(TRANSLATOR.convert(2, 1, job_class, upper), parse_float=Decimal, parse_int=int)
    if "cutoff" in round_trip:
        round_trip["cutoff"] = datetime.fromisoformat(round_trip["cutoff"])
    assert round_trip == job


@given(jobs_v0, st.sampled_from(["quote", "book"]))
def test_version_0_survives_conversion_over_two_steps(job: dict[str, Any], job_class: str) -> None:
    text = urlencode(
        {name: f"{value:f}" if isinstance(value, Decimal) else value for name, value in job.items()}
    )
    upper = TRANSLATOR.convert(0, 2, job_class, text.encode())
    round_trip = dict(parse_qsl(TRANSLATOR.convert(2, 0, job_class, upper).decode(), keep_blank_values=True))
    assert {name: Decimal(value) if name == "kg" else value for name, value in round_trip.items()} == {
        name: value if name == "kg" else str(value) for name, value in job.items()
    }


@settings(max_examples=300)
@given(
    jobs_v1,
    st.sampled_from(
        [
            ("pallets", 0),
            ("pallets", 1.5),
            ("pallets", "4"),
            ("pallets", True),
            ("pallets", 2**32),
            ("weight_kg", -1),
            ("weight_kg", 0.0001),
            ("weight_kg", "1"),
            ("weight_kg", 1e300),
            ("cutoff", "2026-02-30T00:00:00Z"),
            ("cutoff", "2026-02-03T00:00:00.0001Z"),
            ("cutoff", "yesterday"),
            ("cutoff", 5),
            ("fragile", 1),
            ("remark", None),
            ("remark", "\ud800"),
            ("hazard", "acid"),
            ("goods", {}),
            ("goods", [[]]),
            ("goods", [{"sku": "a"}]),
            ("origin", "x" * 33),
            ("dock", "A1"),
            ("colour", "red"),
        ]
    ),
)
def test_inexpressible_values_are_rejected_by_field_name(
    job: dict[str, Any], change: tuple[str, Any]
) -> None:
    name, value = change
    changed = json.loads(as_json(job)) | {name: value}
    with pytest.raises(UntranslatableError) as caught:
        TRANSLATOR.convert(1, 2, "quote", json.dumps(changed).encode())
    assert caught.value.field.partition("[")[0] == name or caught.value.reason == "is not UTF-8"
    assert caught.value.reason and len(caught.value.value) <= 65


@given(st.binary(max_size=200), st.sampled_from([0, 1, 2]), st.sampled_from([0, 1, 2]), st.booleans())
def test_any_bytes_are_translated_or_rejected(data: bytes, source: int, target: int, request: bool) -> None:
    try:
        TRANSLATOR.convert(source, target, "quote", data, request)
    except UntranslatableError as error:
        assert error.field and error.reason


@given(st.text(max_size=20), st.text(max_size=20), st.text(max_size=20))
def test_envelope_is_carried_unchanged_or_rejected(request_id: str, key: str, tenant: str) -> None:
    """No character of an id, a key or a tenant is dropped; otherwise two keys could become equal."""
    prepared = TRANSLATOR.prepare(
        Request(request_id, 0, 1000.0, 0, b"{}", key, tenant_name=tenant, form_version=1)
    )
    for name, value in [("id", request_id), ("key", key), ("tenant", tenant)]:
        carried = all(" " <= char <= "~" for char in value) and value == value.strip()
        if not carried:
            assert not prepared.bodies and prepared.failures[1].field in ("id", "key", "tenant"), name


def test_unknown_protobuf_fields_and_choices_are_not_dropped() -> None:
    offer = pb.Offer(price_cents=1, departs_ms=0)
    message = pb.Done(offer=offer).SerializeToString()
    assert TRANSLATOR.result(1, "quote", 2, message) == b'{"price":0.01,"departs":"1970-01-01T00:00:00Z"}'
    offer_with_unknown_field = offer.SerializeToString() + b"\x98\x06\x07"  # field number 99
    for data, field in [
        (message + b"\x98\x06\x07", "the message"),
        (b"\x0a" + bytes([len(offer_with_unknown_field)]) + offer_with_unknown_field, "the message"),
        (message + b"\x0a\x02\x18\x09", "lane"),
        (pb.Done(booking=pb.Booking()).SerializeToString(), "offer"),
        (pb.Done(offer=pb.Offer(departs_ms=0)).SerializeToString(), "price_cents"),
        (b"\xff\xff", "the message"),
    ]:
        with pytest.raises(UntranslatableError) as caught:
            TRANSLATOR.result(1, "quote", 2, data)
        assert caught.value.field == field, data


def test_times_respect_their_zone_and_are_not_rounded() -> None:
    body = b'{"origin":"a","destination":"b","pallets":1,"cutoff":"2026-12-01T10:00:00.250-05:00"}'
    cutoff_ms = pb.RunRequest.FromString(TRANSLATOR.convert(1, 2, "quote", body)).quote.cutoff_ms
    assert timedelta(milliseconds=cutoff_ms) + datetime(1970, 1, 1) == datetime(
        2026, 12, 1, 15, 0, 0, 250_000
    )


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('key = "field:key"\n', "", "no place for the key"),
        ('tenant = "header:x-tenant"\n', "", "no place for the tenant"),
        ('deadline = "metadata:grpc-timeout"', 'deadline = "metadata:x-wait"', "grpc-timeout"),
        ('dock = { default = "any" }\n', "", "dock"),
        ('dock = { default = "any" }', "dock = { default = 3 }", "3 is not a valid text"),
        ('dock = { default = "any" }', "dock = { }", "has no source"),
        ('hazard = "planners of interface 2 take no free text on hazards"\n', "", "would be dropped"),
        ('weight_g = { from = "weight_kg"', 'weight_g = { from = "weight"', "'weight'"),
        ('weight_g = { from = "weight_kg", scale = 1000 }', 'weight_g = { from = "remark" }', "already"),
        ('{ true = "fragile", false = "normal" }', '{ true = "fragile", false = "fragile" }', "told apart"),
        ('{ true = "fragile", false = "normal" }', '{ true = "fragile", maybe = "normal" }', "maybe"),
        ('{ from = "night", values = { true = "night", false = "day" } }', '{ from = "night" }', "lane"),
        ('count = { from = "count" } } }', 'count = { cannot = "none" } } }', "count"),
        ('quote_ref = { from = "quote" }', 'key = { from = "quote" }', "key"),
        ('price_cents = { type = "integer"', 'price_cents = { type = "text"', "whole number"),
        ('request-message = "RunRequest.book"', 'request-message = "RunRequest.buy"', "RunRequest.buy"),
        ('choices = ["normal", "fragile", "cold"]', 'choices = ["normal", "hot"]', "hot"),
        ("from = 1\nto = 2", "from = 0\nto = 2", "neighbouring"),
        ("2 = 2 ", "2 = 1 ", "protobuf"),
        ("gearman = 1", "gearman = 7", "no form with version 7"),
        ("least = 1, most = 999", "least = 1, moist = 999", "moist"),
        ("[interfaces]", "[interfaces", "line"),
    ],
)
def test_file_that_would_lose_data_is_rejected_with_the_problem(old: str, new: str, message: str) -> None:
    assert old in TRANSLATION_TOML
    with pytest.raises(TranslationError) as caught:
        read(TRANSLATION_TOML.replace(old, new, 1))
    assert message in str(caught.value), str(caught.value)


def test_problem_names_the_line_at_fault() -> None:
    text = TRANSLATION_TOML.replace('dock = { default = "any" }', "dock = { default = 3 }")
    line = text.splitlines().index("dock = { default = 3 }") + 1
    with pytest.raises(TranslationError) as caught:
        read(text)
    assert str(caught.value).startswith(f"line {line}: step 1 to 2: classes.book.request.rules.dock")


def test_step_must_not_change_the_envelope() -> None:
    text = TRANSLATION_TOML.replace(
        "[steps.classes.book.request.cannot]\nhazard",
        '[steps.classes.book.request.cannot]\nidempotency-key = "none"\nhazard',
        1,
    )
    with pytest.raises(TranslationError, match="belongs to the envelope"):
        read(text)
    line = text.splitlines().index('idempotency-key = "none"') + 1
    with pytest.raises(TranslationError, match=f"line {line}:"):
        read(text)


def test_missing_field_without_default_is_rejected_by_name() -> None:
    forms = read(
        TRANSLATION_TOML.replace(
            'dock = { default = "any" }', 'dock = { cannot = "old terminals know no docks" }'
        )
    )
    with pytest.raises(UntranslatableError) as caught:
        Translator(forms, ["quote", "book"]).convert(
            1, 2, "book", as_json({"origin": "a", "destination": "b", "pallets": 1})
        )
    assert (caught.value.field, caught.value.reason) == ("dock", "old terminals know no docks")


def test_rejection_names_the_field_as_the_client_does() -> None:
    """A value that the newest form can't hold is named as in the oldest form, across two steps."""
    old, new = 'weight_g = { type = "integer" }', 'weight_g = { type = "integer", most = 5 }'
    forms = read(TRANSLATION_TOML.replace(old, new))
    with pytest.raises(UntranslatableError) as caught:
        Translator(forms, ["quote", "book"]).convert(0, 2, "quote", b"from=a&to=b&plts=1&kg=2.5")
    assert (caught.value.field, caught.value.value) == ("kg", "2500")
    body = b'{"origin":"a","destination":"b","pallets":1,"goods":[{"sku":"a","count":4294967296}]}'
    with pytest.raises(UntranslatableError) as caught:
        TRANSLATOR.convert(1, 2, "quote", body)
    assert caught.value.field == "goods[0].count"
