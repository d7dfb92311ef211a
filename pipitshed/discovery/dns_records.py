"""Parses the records of a DNS-SD instance into an entry of the endpoint list.

A TXT record may hold `zone`, `kind`, `cell`, `state`, `weight`, `started` (Unix time in ms) and `interface`.
"""

from __future__ import annotations

import re

import dns.name
import dns.rdtypes.ANY.TXT
import dns.rrset
import msgspec

from pipitshed.discovery.catalog import CatalogEntry

MAX_NUMBER = 1e15  # in a TXT record; a larger one is not a weight, cell or time
STATE_KEY = "state"
_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")


def parse_txt(rrset: dns.rrset.RRset) -> dict[str, str]:
    """The key/value pairs of a TXT record; a value that is not UTF-8 is empty.

    Keys are case-insensitive, and of a repeated key the first counts (RFC 6763, 6.4).
    """
    pairs: dict[str, str] = {}
    record = rrset[0]
    assert isinstance(record, dns.rdtypes.ANY.TXT.TXT)
    for text in record.strings:
        key, _, value = text.partition(b"=")
        pairs.setdefault(key.decode("utf-8", "replace").lower(), _decode(value))
    return pairs


def _decode(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError:
        return ""


def parse_number(text: str | None) -> float | None:
    """A number of at least 0 and below MAX_NUMBER; None where the text is missing or anything else."""
    if text is None or not _NUMBER.fullmatch(text):
        return None
    value = float(text)
    return value if value < MAX_NUMBER else None


def parse_integer(text: str | None) -> int | None:
    """A whole number of at least 0 and below MAX_NUMBER; None where the text is missing or anything else."""
    value = parse_number(text)
    return int(value) if value is not None and value.is_integer() else None


def instance_entry(name: dns.name.Name, host_port: str, txt: dict[str, str]) -> CatalogEntry:
    """The entry of an instance; fields that its TXT record does not state with a valid value are None."""
    return CatalogEntry(
        instance_id=name.to_text(),
        host_port=host_port,
        zone=txt.get("zone") or None,
        machine_type=txt.get("kind") or None,
        cell=parse_integer(txt.get("cell")),
        lifecycle=txt.get(STATE_KEY, "").strip().lower() or None,
        weight=parse_number(txt.get("weight")),
        started_at_ms=parse_number(txt.get("started")),
        interface=parse_integer(txt.get("interface")),
    )


def with_known_fields(entry: CatalogEntry, known: CatalogEntry) -> CatalogEntry:
    """The entry with the fields that it does not state taken from the one known before.

    The state is that of a process: it is not taken over if the entry states a later start than the known one.
    """
    has_restarted = (entry.started_at_ms or 0.0) > (known.started_at_ms or 0.0) > 0
    unstated = {
        field: getattr(known, field)
        for field in entry.__struct_fields__
        if getattr(entry, field) is None and not (field == "lifecycle" and has_restarted)
    }
    return msgspec.structs.replace(entry, **unstated)
