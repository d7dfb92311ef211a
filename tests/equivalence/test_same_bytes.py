"""Bytes that commit 9bcbde6 wrote are read, and the bytes written now are the same."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from equivalence import names
from pipitshed.cluster import row_store
from pipitshed.cluster.codec import Codec
from pipitshed.placement import plan
from pipitshed.simulator import wire
from pipitshed.translation.file import read
from pipitshed.translation.translator import Translator

GOLDEN = Path(__file__).parent / "golden"
ROOT = Path(__file__).parent.parent.parent


def golden(name: str) -> Any:
    """A golden file, which commit 9bcbde6 wrote."""
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


def test_the_rows_file_is_read_and_written_as_before(tmp_path: Path) -> None:
    data = (GOLDEN / "rows-file").read_bytes()
    before, after = tmp_path / "before", tmp_path / "after"
    before.write_bytes(data)
    rows_file = row_store.read(before)
    assert [row.key for row in rows_file.rows] == ["class/quote/goalTime", "tenant/andes-retail/share"]
    row_store.write(after, rows_file)
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
    assert instance == 3 and event == names.event_from_recording(name, expected)


@pytest.mark.parametrize("index", range(len(golden("forms.json"))))
def test_a_message_is_translated_as_before(index: int) -> None:
    case = golden("forms.json")[index]
    translator = Translator(read((ROOT / "deploy" / "translation.toml").read_text()), ("quote", "book"))
    prepared = translator.prepare(names.request_from_recording(case["request"]))
    assert {str(interface): body.hex() for interface, body in prepared.bodies.items()} == case["bodies"]
    assert sorted(map(str, prepared.failures)) == case["unfit"]


def test_the_json_schemas_allow_the_same_keys() -> None:
    from click.testing import CliRunner

    from pipitshed.cli.commands import main

    for file_kind, keys in golden("schemas.json").items():
        schema = json.loads(CliRunner().invoke(main, ["schema", file_kind]).output)
        assert schema_keys(schema) == keys, file_kind


def schema_keys(schema: Any) -> list[str]:
    """The keys that a schema allows, with types and defaults but without titles and descriptions."""
    keys_found: set[str] = set()

    def collect_keys(node: Any, path: str, enclosing_types: tuple[str, ...] = ()) -> None:
        if isinstance(node, list):
            for item in node:
                if isinstance(item, dict | list):
                    collect_keys(item, path, enclosing_types)
                else:
                    keys_found.add(f"{path} {item!r}")
            return
        for key, value in node.items():
            if key == "$ref":
                name = value.rpartition("/")[2]
                if name not in enclosing_types:  # a recursive type is visited once
                    collect_keys(schema["$defs"][name], path, (*enclosing_types, name))
            elif key == "properties":
                for name, inner in value.items():
                    collect_keys(inner, f"{path}.{name}", enclosing_types)
            elif key in ("title", "description", "$defs"):
                continue
            elif isinstance(value, dict | list):
                collect_keys(value, f"{path}<{key}>", enclosing_types)
            else:
                keys_found.add(f"{path} {key}={value!r}")

    collect_keys(schema, "")
    return sorted(keys_found)
