"""What the program asks: a request into the forms of the planners' interfaces, a result back into its own."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from pipitshed.proxy.request import Request
from pipitshed.translation.codecs import Codec, FormCodec, JsonCodec
from pipitshed.translation.file import Form, TranslationFile
from pipitshed.translation.steps import Chain, Step
from pipitshed.translation.values import Field, Record, UntranslatableError

FORM_TYPE = "application/x-www-form-urlencoded"


@dataclass(slots=True)
class TranslatedRequest:
    """One request in the form of each interface that can express it."""

    bodies: dict[int, bytes] = field(default_factory=dict)  # interface: body
    failures: dict[int, UntranslatableError] = field(default_factory=dict)  # interface: why it can't


# What HTTP headers and gRPC metadata carry unchanged: visible ASCII, with spaces inside alone.
_CARRIED = re.compile(r"[!-~]([ -~]*[!-~])?")


class Translator:
    """All codecs and chains of one translation file, made once."""

    def __init__(self, file: TranslationFile, classes: Sequence[str]) -> None:
        self._classes = classes
        self.clients = file.clients
        self.forms = {form.version: form for form in file.forms}
        self.interfaces = {1: file.interfaces.http, 2: file.interfaces.grpc}
        self._requests: dict[tuple[int, str], Codec] = {}
        self._results: dict[tuple[int, str], Codec] = {}
        for form in file.forms:
            for name, message in form.classes.items():
                self._requests[form.version, name] = _codec(form, message.request, message.request_message)
                self._results[form.version, name] = _codec(form, message.result, message.result_message)
        self._chains: dict[tuple[int, int, str, bool], Chain | None] = {}
        for name in {name for form in file.forms for name in form.classes}:
            for low in self.forms:
                for high in self.forms:
                    if low < high:
                        self._chains[low, high, name, True] = self._chain(
                            file, low, high, name, lambda steps: steps.request, lambda one: one.request
                        )
                        self._chains[low, high, name, False] = self._chain(
                            file, low, high, name, lambda steps: steps.result, lambda one: one.result
                        )

    def _chain(
        self,
        file: TranslationFile,
        low: int,
        high: int,
        name: str,
        side: Callable[..., object],
        fields: Callable[..., object],
    ) -> Chain | None:
        parts = []
        for step in sorted(file.steps, key=lambda one: one.lower):
            if low <= step.lower and step.upper <= high:
                old, new = (self.forms[version].classes.get(name) for version in (step.lower, step.upper))
                if old is None or new is None or name not in step.classes:
                    return None
                parts.append(Step(side(step.classes[name]), fields(old), fields(new)))  # type: ignore[arg-type]
        return Chain(parts)

    # ---- requests

    def prepare(self, request: Request) -> TranslatedRequest:
        """The request's body for each interface, or why there is none."""
        for name, value in [
            ("id", request.id),
            ("key", request.idempotency_key),
            ("tenant", request.tenant_name),
        ]:
            if value and not _CARRIED.fullmatch(value):
                # Guards the key above all: with characters left out, two keys could become one.
                unfit = UntranslatableError(name, value, "holds what neither a header nor metadata can carry")
                return TranslatedRequest(failures=dict.fromkeys(self.interfaces, unfit))
        form = self.clients.http if request.form_version is None else request.form_version
        return self.bodies(form, self._classes[request.job_class], request.body, self.interfaces)

    def answer(self, request: Request, interface: int, result: bytes) -> bytes | UntranslatableError:
        """A planner's result in the form of the request's client."""
        form = self.clients.http if request.form_version is None else request.form_version
        try:
            return self.result(form, self._classes[request.job_class], interface, result)
        except UntranslatableError as unfit:
            return unfit

    def bodies(self, form: int, job_class: str, body: bytes, interfaces: Iterable[int]) -> TranslatedRequest:
        """The body for each of these interfaces, or why there is none. In its own form it goes unchanged."""
        prepared = TranslatedRequest()
        record: Record | None = None
        for interface in interfaces:
            target = self.interfaces[interface]
            try:
                if target == form:
                    # Unread, as it always was: what its own side makes of it is the planner's matter.
                    prepared.bodies[interface] = body
                    continue
                if record is None:
                    record = self._request(form, job_class).decode(body)
                prepared.bodies[interface] = self._told(record, form, target, job_class)
            except UntranslatableError as unfit:
                prepared.failures[interface] = unfit
        return prepared

    def _told(self, record: Record, form: int, target: int, job_class: str) -> bytes:
        """A request's record in another form; a refusal names the field as its own form does."""
        moved = self._move(record, form, target, job_class, True)
        try:
            return self._request(target, job_class).encode(moved)
        except UntranslatableError as unfit:
            chain = self._chains.get((form, target, job_class, True))
            raise chain.with_lower_name(unfit) if chain is not None else unfit from None

    def _request(self, form: int, job_class: str) -> Codec:
        codec = self._requests.get((form, job_class))
        if codec is None:
            raise UntranslatableError(
                "class", job_class, f"version {form} of the message form does not know this class"
            )
        return codec

    def _move(self, record: Record, form: int, target: int, job_class: str, request: bool) -> Record:
        if form == target:
            return record
        chain = self._chains.get((min(form, target), max(form, target), job_class, request))
        if chain is None:
            raise UntranslatableError(
                "class", job_class, f"no steps lead from version {form} to {target} for this class"
            )
        return chain.up(record) if form < target else chain.down(record)

    def convert(self, source: int, target: int, job_class: str, data: bytes, request: bool = True) -> bytes:
        """One message from a version into another; UntranslatableError where it can't be."""
        if request and (target, job_class) in self._requests:
            return self._told(self._request(source, job_class).decode(data), source, target, job_class)
        codecs = self._requests if request else self._results
        held, wanted = codecs.get((source, job_class)), codecs.get((target, job_class))
        if held is None or wanted is None:
            raise UntranslatableError("class", job_class, "one of the versions does not know this class")
        return wanted.encode(self._move(held.decode(data), source, target, job_class, request))

    # ---- results

    def result(self, form: int, job_class: str, interface: int, data: bytes) -> bytes:
        """A planner's result in its client's form; UntranslatableError where that can't express it."""
        source = self.interfaces[interface]
        if source == form:
            return data
        held, wanted = self._results.get((source, job_class)), self._results.get((form, job_class))
        if held is None or wanted is None:
            raise UntranslatableError(
                "class", job_class, f"version {form} of the message form does not know this class"
            )
        return wanted.encode(self._move(held.decode(data), source, form, job_class, False))

    # ---- the envelope of clients that carry it in the body

    def client_form(self, content_type: str) -> int:
        """The form in which an HTTP client speaks."""
        kind = content_type.partition(";")[0].strip().lower()
        return self.clients.content_types.get(kind, self.clients.http)

    def envelope(self, form: int, body: bytes) -> dict[str, str]:
        """What the body tells of id, class, tenant, key and deadline, where this form has them there.
        UntranslatableError where one is told twice.
        """
        places = {
            place.removeprefix("field:"): name
            for name, place in self.forms[form].envelope.items()
            if place.startswith("field:")
        }
        if not places:
            return {}
        told: dict[str, str] = {}
        for name, text in FormCodec({}).pairs(body):
            if name in places:
                if places[name] in told:
                    raise UntranslatableError(name, text, "is told twice")
                told[places[name]] = text
        return told


def _codec(form: Form, fields: dict[str, Field], message: str) -> Codec:
    if form.encoding == "protobuf":
        from pipitshed.translation.protobuf import ProtobufCodec

        return ProtobufCodec(message, fields)
    if form.encoding == "json":
        return JsonCodec(fields)
    return FormCodec(
        fields,
        frozenset(
            place.removeprefix("field:") for place in form.envelope.values() if place.startswith("field:")
        ),
    )
