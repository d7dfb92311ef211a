"""The translation file: forms, steps and interfaces, parsed and validated; errors name the line."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from itertools import pairwise
from typing import Literal

import msgspec

from pipitshed.protocols.toml import line_of_item
from pipitshed.translation import steps
from pipitshed.translation.steps import ClassSteps
from pipitshed.translation.values import Field

ENVELOPE = ("id", "class", "tenant", "key", "deadline")
# Where the two interfaces carry the envelope. Both are published, so a file can't choose other places.
HTTP_ENVELOPE = {
    "id": "header:x-request-id",
    "class": "header:x-class",
    "tenant": "header:x-tenant",
    "key": "header:idempotency-key",
    "deadline": "header:x-deadline",
}
GRPC_ENVELOPE = {
    "id": "metadata:x-request-id",
    "class": "metadata:x-class",
    "tenant": "metadata:x-tenant",
    "key": "metadata:idempotency-key",
    "deadline": "metadata:grpc-timeout",
}


class Message(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The fields of one class's request and result in one form."""

    request: dict[str, Field]
    result: dict[str, Field]
    request_message: str = ""  # only in protobuf forms, such as RunRequest.quote
    result_message: str = ""  # only in protobuf forms


class Form(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """One version of the message form."""

    version: int
    encoding: Literal["form", "json", "protobuf"]
    envelope: dict[str, str]  # name of ENVELOPE: where it is carried, such as `header:x-class`
    classes: dict[str, Message]


class StepFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The rules that translate between one version and the next."""

    lower: int = msgspec.field(name="from")
    upper: int = msgspec.field(name="to")
    classes: dict[str, ClassSteps] = {}


class Interfaces(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The version of the form that planners of each interface accept."""

    http: int = msgspec.field(default=1, name="1")  # interface 1: HTTP/1.1, JSON lines
    grpc: int = msgspec.field(default=2, name="2")  # interface 2: gRPC


class Clients(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The version of the form that clients send."""

    http: int = 1  # for content types that `content_types` does not name
    content_types: dict[str, int] = {}
    gearman: int = 1


class TranslationFile(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The content of a translation file."""

    forms: list[Form]
    steps: list[StepFile] = []
    interfaces: Interfaces = Interfaces()
    clients: Clients = Clients()


class TranslationError(ValueError):
    """The translation file is invalid. The message has one line for each problem."""


def read(text: str) -> TranslationFile:
    """Parse and validate a translation file; TranslationError if it is invalid or would lose any data."""
    try:
        file = msgspec.convert(tomllib.loads(text), TranslationFile)
    except tomllib.TOMLDecodeError as error:
        raise TranslationError(str(error)) from None
    except msgspec.ValidationError as error:
        raise TranslationError(str(error)) from None
    problems = [f"line {line}: {location}: {problem}" for line, location, problem in _problems(file, text)]
    if problems:
        raise TranslationError("\n".join(problems))
    return file


def _problems(file: TranslationFile, text: str) -> Iterator[tuple[int, str, str]]:
    versions = [form.version for form in file.forms]
    if versions != sorted(set(versions)):
        yield 1, "forms", "versions must increase from one form to the next"
        return
    for index, form in enumerate(file.forms):
        yield from (
            (line_of_item(text, "forms", index, *path), f"form {form.version}: {'.'.join(path)}", problem)
            for path, problem in _form_problems(form)
        )
    for location, version in [
        ("interfaces.1", file.interfaces.http),
        ("interfaces.2", file.interfaces.grpc),
        ("clients.http", file.clients.http),
        ("clients.gearman", file.clients.gearman),
        *(
            (f"clients.content-types.{name}", form_version)
            for name, form_version in file.clients.content_types.items()
        ),
    ]:
        if version not in versions:
            yield 1, location, f"there is no form with version {version}"
    by_version = {form.version: form for form in file.forms}
    for location, version, encoding in [
        ("interfaces.1", file.interfaces.http, "json"),
        ("interfaces.2", file.interfaces.grpc, "protobuf"),
    ]:
        if version in by_version and by_version[version].encoding != encoding:
            yield (
                1,
                location,
                f"the interface uses {encoding}, but form {version} is {by_version[version].encoding}",
            )
    step_versions = [(step.lower, step.upper) for step in file.steps]
    for pair in pairwise(versions):
        if step_versions.count(pair) != 1:
            yield (
                1,
                f"step {pair[0]} to {pair[1]}",
                f"there are {step_versions.count(pair)} such steps, expected 1",
            )
    for index, step in enumerate(file.steps):
        if (step.lower, step.upper) not in pairwise(versions):
            yield (
                line_of_item(text, "steps", index),
                f"step {step.lower} to {step.upper}",
                "these are not neighbouring versions",
            )
            continue
        lower, upper = by_version[step.lower], by_version[step.upper]
        for path, problem in _step_problems(step, lower, upper):
            yield (
                line_of_item(text, "steps", index, *path),
                f"step {step.lower} to {step.upper}: {'.'.join(path)}",
                problem,
            )


def _form_problems(form: Form) -> Iterator[tuple[tuple[str, ...], str]]:
    expected = {"json": HTTP_ENVELOPE, "protobuf": GRPC_ENVELOPE}.get(form.encoding)
    for name in ENVELOPE:
        if name not in form.envelope:
            yield ("envelope", name), f"this form has no place for the {name}, which would be lost"
        elif expected is not None and form.envelope[name] != expected[name]:
            yield ("envelope", name), f"must be, as in all {form.encoding} forms, {expected[name]!r}"
        elif expected is None and not form.envelope[name].startswith(("field:", "header:")):
            yield ("envelope", name), "must be 'field:NAME' or 'header:NAME'"
    for name in form.envelope:
        if name not in ENVELOPE:
            yield ("envelope", name), f"is not one of {', '.join(ENVELOPE)}"
    for job_class, message in form.classes.items():
        for part, fields, pb_message in [
            ("request", message.request, message.request_message),
            ("result", message.result, message.result_message),
        ]:
            path_prefix = ("classes", job_class, part)
            yield from ((path_prefix + path, problem) for path, problem in _field_problems(form, fields))
            if form.encoding == "protobuf":
                from pipitshed.translation.protobuf import problems

                yield from (
                    (path_prefix + tuple(name.split(".")), problem)
                    for name, problem in problems(pb_message, fields)
                )


def _field_problems(form: Form, fields: dict[str, Field]) -> Iterator[tuple[tuple[str, ...], str]]:
    envelope_fields = {
        carrier.removeprefix("field:") for carrier in form.envelope.values() if carrier.startswith("field:")
    }
    for name, field in fields.items():
        if form.encoding == "form" and field.type == "records":
            yield (name,), "a form-encoded message can't hold nested records"
        if name in envelope_fields:
            yield (name,), "is already a field of the envelope"
        if field.type == "choice" and not field.choices:
            yield (name,), "has no choices"
        if (field.type == "records") != bool(field.fields):
            yield (name,), "fields of type records must have `fields`, others must not"
        yield from (((name, *path), problem) for path, problem in _field_problems(form, field.fields))


def _step_problems(step: StepFile, lower: Form, upper: Form) -> Iterator[tuple[tuple[str, ...], str]]:
    envelope_fields = {
        name
        for form in (lower, upper)
        for name in (carrier.rpartition(":")[2] for carrier in form.envelope.values())
    }
    for job_class in sorted(lower.classes.keys() & upper.classes.keys()):
        if job_class not in step.classes:
            yield ("classes", job_class), "both versions have this class, but the step does not"
    for job_class, rules in step.classes.items():
        if job_class not in lower.classes or job_class not in upper.classes:
            yield ("classes", job_class), "is not a class in both versions"
            continue
        lower_message, upper_message = lower.classes[job_class], upper.classes[job_class]
        for part, side, lower_fields, upper_fields in [
            ("request", rules.request, lower_message.request, upper_message.request),
            ("result", rules.result, lower_message.result, upper_message.result),
        ]:
            for name in side.cannot:
                if name in envelope_fields:
                    yield (
                        ("classes", job_class, part, "cannot", name),
                        "belongs to the envelope: a step must not drop key, class, tenant, id or deadline",
                    )
            for name, rule in side.rules.items():
                if rule.source in envelope_fields or name in envelope_fields:
                    yield (
                        ("classes", job_class, part, "rules", name),
                        "belongs to the envelope, which a step must not change",
                    )
            for name, problem in steps.problems(side, lower_fields, upper_fields):
                if not {name, side.rules[name].source if name in side.rules else ""} & envelope_fields:
                    yield ("classes", job_class, part, "rules", *name.split(".")), f"{name}: {problem}"
