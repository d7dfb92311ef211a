"""Bytes in both directions: what 9bcbde6 wrote is read, and what is written now is the same."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from equivalence import names
from pipitshed.cluster import row_store as rowsfile
from pipitshed.cluster.codec import Codec
from pipitshed.placement import plan
from pipitshed.simulator import wire
from pipitshed.translation.file import read
from pipitshed.translation.translator import Translator

GOLDEN = Path(__file__).parent / "golden"
ROOT = Path(__file__).parent.parent.parent


def golden(name: str) -> Any:
    """What the commit before wrote."""
    return json.loads((GOLDEN / name).read_text())


@pytest.mark.parametrize("name", golden("messages.json"))
def test_a_message_between_schedulers_is_read_and_written_as_before(name: str) -> None:
    data = bytes.fromhex(golden("messages.json")[name])
    for secret in (b"", b"a secret"):
        codec = Codec("golden", secret)
        if secret:
            with pytest.raises(ValueError):
                codec.decode(data)
        else:
            assert codec.encode(codec.decode(data)) == data


def test_the_file_of_rows_is_read_and_written_as_before(tmp_path: Path) -> None:
    data = (GOLDEN / "rows-file").read_bytes()
    before, after = tmp_path / "before", tmp_path / "after"
    before.write_bytes(data)
    kept = rowsfile.read(before)
    assert [row.key for row in kept.rows] == ["class/quote/goalTime", "tenant/andes-retail/share"]
    rowsfile.write(after, kept)
    assert after.read_bytes() == data


def test_a_plan_is_read_and_written_as_before() -> None:
    data = (GOLDEN / "plan.json").read_bytes()
    assert plan.write(plan.read(data)) == data


@pytest.mark.parametrize("name", golden("actions.json"))
def test_an_action_is_written_to_the_simulator_as_before(name: str) -> None:
    fields, record = golden("actions.json")[name]
    renamed = names.ACTIONS[name]
    worker = {"worker": bytes.fromhex(fields["worker"])} if "worker" in fields else {}
    action = renamed.current(**{renamed.fields[field]: value for field, value in (fields | worker).items()})
    assert wire.encode_action(3, action).hex() == record


@pytest.mark.parametrize("name", golden("events.json"))
def test_an_event_of_the_simulator_is_read_as_before(name: str) -> None:
    record, expected = golden("events.json")[name]
    [(instance, event)] = wire.decode_batch(1, bytes.fromhex(record))
    assert instance == 3 and event == names.event(name, expected)


@pytest.mark.parametrize("place", range(len(golden("forms.json"))))
def test_a_message_is_translated_as_before(place: int) -> None:
    held = golden("forms.json")[place]
    translator = Translator(read((ROOT / "deploy" / "translation.toml").read_text()), ("quote", "book"))
    prepared = translator.prepare(names.request(held["request"]))
    assert {str(interface): body.hex() for interface, body in prepared.bodies.items()} == held["bodies"]
    assert sorted(map(str, prepared.failures)) == held["unfit"]


def test_the_json_schemas_ask_for_the_same_keys() -> None:
    from click.testing import CliRunner

    from pipitshed.cli.commands import main

    for which, keys in golden("schemas.json").items():
        schema = json.loads(CliRunner().invoke(main, ["schema", which]).output)
        assert schema_keys(schema) == keys, which


def schema_keys(schema: Any) -> list[str]:
    """The keys that a schema allows, with their types and defaults: all but titles and descriptions."""
    found: set[str] = set()

    def walk(held: Any, path: str, within: tuple[str, ...] = ()) -> None:
        if isinstance(held, list):
            for item in held:
                if isinstance(item, dict | list):
                    walk(item, path, within)
                else:
                    found.add(f"{path} {item!r}")
            return
        for key, value in held.items():
            if key == "$ref":
                name = value.rpartition("/")[2]
                if name not in within:  # a type that holds itself is walked once
                    walk(schema["$defs"][name], path, (*within, name))
            elif key == "properties":
                for name, inner in value.items():
                    walk(inner, f"{path}.{name}", within)
            elif key in ("title", "description", "$defs"):
                continue
            elif isinstance(value, dict | list):
                walk(value, f"{path}<{key}>", within)
            else:
                found.add(f"{path} {key}={value!r}")

    walk(schema, "")
    return sorted(found)
