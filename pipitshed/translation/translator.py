"""Translates requests into the forms of the planners' interfaces, and results into the clients' forms."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from pipitshed.proxy.request import Request
from pipitshed.translation.codecs import Codec, FormCodec, JsonCodec
from pipitshed.translation.file import Form, TranslationFile
from pipitshed.translation.steps import Chain, Step
from pipitshed.translation.values import Field, Record, UntranslatableError

FORM_CONTENT_TYPE = "application/x-www-form-urlencoded"


@dataclass(slots=True)
class TranslatedRequest:
    """One request in the form of each interface that can express it."""

    bodies: dict[int, bytes] = field(default_factory=dict)  # by interface
    failures: dict[int, UntranslatableError] = field(default_factory=dict)  # by interface


# Values that HTTP headers and gRPC metadata carry unchanged: visible ASCII, and spaces except at the ends.
_HEADER_SAFE = re.compile(r"[!-~]([ -~]*[!-~])?")


class Translator:
    """The codecs and chains of one translation file, built at the start for all classes and versions."""

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
            for lower in self.forms:
                for upper in self.forms:
                    if lower < upper:
                        self._chains[lower, upper, name, True] = self._chain(
                            file,
                            lower,
                            upper,
                            name,
                            lambda steps: steps.request,
                            lambda message: message.request,
                        )
                        self._chains[lower, upper, name, False] = self._chain(
                            file,
                            lower,
                            upper,
                            name,
                            lambda steps: steps.result,
                            lambda message: message.result,
                        )

    def _chain(
        self,
        file: TranslationFile,
        lower: int,
        upper: int,
        name: str,
        side: Callable[..., object],
        fields: Callable[..., object],
    ) -> Chain | None:
        steps = []
        for step in sorted(file.steps, key=lambda item: item.lower):
            if lower <= step.lower and step.upper <= upper:
                old, new = (self.forms[version].classes.get(name) for version in (step.lower, step.upper))
                if old is None or new is None or name not in step.classes:
                    return None
                steps.append(Step(side(step.classes[name]), fields(old), fields(new)))  # type: ignore[arg-type]
        return Chain(steps)

    # ---- requests

    def prepare(self, request: Request) -> TranslatedRequest:
        """Translate a client's request into the form of every interface, or give the error by interface."""
        for name, value in [
            ("id", request.id),
            ("key", request.idempotency_key),
            ("tenant", request.tenant_name),
        ]:
            if value and not _HEADER_SAFE.fullmatch(value):
                # Dropping characters instead could make two idempotency keys equal.
                error = UntranslatableError(name, value, "holds what neither a header nor metadata can carry")
                return TranslatedRequest(failures=dict.fromkeys(self.interfaces, error))
        form = self.clients.http if request.form_version is None else request.form_version
        return self.bodies(form, self._classes[request.job_class], request.body, self.interfaces)

    def answer(self, request: Request, interface: int, result: bytes) -> bytes | UntranslatableError:
        """A planner's result in the form of the request's client, or the error."""
        form = self.clients.http if request.form_version is None else request.form_version
        try:
            return self.result(form, self._classes[request.job_class], interface, result)
        except UntranslatableError as error:
            return error

    def bodies(self, form: int, job_class: str, body: bytes, interfaces: Iterable[int]) -> TranslatedRequest:
        """Translate a body for each of these interfaces. A body in an interface's own form is not parsed."""
        prepared = TranslatedRequest()
        record: Record | None = None
        for interface in interfaces:
            target = self.interfaces[interface]
            try:
                if target == form:
                    # Passed through unparsed: the planner validates messages in its own form.
                    prepared.bodies[interface] = body
                    continue
                if record is None:
                    record = self._request(form, job_class).decode(body)
                prepared.bodies[interface] = self._encode_request(record, form, target, job_class)
            except UntranslatableError as error:
                prepared.failures[interface] = error
        return prepared

    def _encode_request(self, record: Record, form: int, target: int, job_class: str) -> bytes:
        """Encode a request's record in another form; an error names the field as the sender's form does."""
        converted = self._convert_record(record, form, target, job_class, True)
        try:
            return self._request(target, job_class).encode(converted)
        except UntranslatableError as error:
            chain = self._chains.get((form, target, job_class, True))
            raise chain.with_lower_name(error) if chain is not None else error from None

    def _request(self, form: int, job_class: str) -> Codec:
        codec = self._requests.get((form, job_class))
        if codec is None:
            raise UntranslatableError(
                "class", job_class, f"version {form} of the message form does not know this class"
            )
        return codec

    def _convert_record(
        self, record: Record, form: int, target: int, job_class: str, request: bool
    ) -> Record:
        if form == target:
            return record
        chain = self._chains.get((min(form, target), max(form, target), job_class, request))
        if chain is None:
            raise UntranslatableError(
                "class", job_class, f"no steps lead from version {form} to {target} for this class"
            )
        return chain.up(record) if form < target else chain.down(record)

    def convert(self, source: int, target: int, job_class: str, data: bytes, request: bool = True) -> bytes:
        """Convert one message between versions; UntranslatableError if that is not possible."""
        if request and (target, job_class) in self._requests:
            return self._encode_request(
                self._request(source, job_class).decode(data), source, target, job_class
            )
        codecs = self._requests if request else self._results
        source_codec, target_codec = codecs.get((source, job_class)), codecs.get((target, job_class))
        if source_codec is None or target_codec is None:
            raise UntranslatableError("class", job_class, "one of the versions does not know this class")
        return target_codec.encode(
            self._convert_record(source_codec.decode(data), source, target, job_class, request)
        )

    # ---- results

    def result(self, form: int, job_class: str, interface: int, data: bytes) -> bytes:
        """A planner's result in the client's form; UntranslatableError if the form can't express it."""
        source = self.interfaces[interface]
        if source == form:
            return data
        source_codec, target_codec = (
            self._results.get((source, job_class)),
            self._results.get((form, job_class)),
        )
        if source_codec is None or target_codec is None:
            raise UntranslatableError(
                "class", job_class, f"version {form} of the message form does not know this class"
            )
        return target_codec.encode(
            self._convert_record(source_codec.decode(data), source, form, job_class, False)
        )

    # ---- clients' forms, and envelopes that are carried in the body

    def client_form(self, content_type: str) -> int:
        """The version of the form that an HTTP client uses, by its content type."""
        media_type = content_type.partition(";")[0].strip().lower()
        return self.clients.content_types.get(media_type, self.clients.http)

    def envelope(self, form: int, body: bytes) -> dict[str, str]:
        """The id, class, tenant, key and deadline, as far as this form carries them in the body.

        UntranslatableError if one of them is repeated.
        """
        names_by_field = {
            carrier.removeprefix("field:"): name
            for name, carrier in self.forms[form].envelope.items()
            if carrier.startswith("field:")
        }
        if not names_by_field:
            return {}
        values: dict[str, str] = {}
        for name, text in FormCodec({}).pairs(body):
            if name in names_by_field:
                if names_by_field[name] in values:
                    raise UntranslatableError(name, text, "is told twice")
                values[names_by_field[name]] = text
        return values


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
