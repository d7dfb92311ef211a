"""Clients with old message forms against planners of both interfaces, through the whole program."""

import asyncio
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from grpc_peer import Call, GrpcPlanner
from loopback import FRONT, GearmanPeer, HttpClient, Planner, Run, async_test, program
from name_server import name_server

from pipitshed.cli.commands import main
from pipitshed.protocols.gearman import PacketType
from pipitshed.protocols.grpc import MESSAGE_PREFIX
from pipitshed.worker_api import planner_pb2 as pb

FORMS_FILE = Path(__file__).parent.parent / "deploy" / "translation.toml"
FRONT_TRANSLATION = f'\n[translation]\nfile = "{FORMS_FILE}"\n'
REQUEST_V0 = b"req=a1&cls=quote&member=andes-retail&key=k-1&wait=4.5&from=LIM&to=AQP&plts=4"
JOB_V1 = b'{"origin":"LIM","destination":"AQP","pallets":4}'
RESULT = '{"price":2,"departs":"2027-01-15T08:00:00Z"}'
FORM_HEADERS = {"Content_Type": "application/x-www-form-urlencoded"}


class ListedPlanner(Planner):
    """The endpoint list's entry for a planner that runs elsewhere; names its interface unless that is 0."""

    def __init__(self, name: str, port: int, interface: int = 0) -> None:
        super().__init__(name)
        self.port, self.interface = port, interface

    def line(self, lifecycle: str = "ready") -> dict[str, object]:
        return super().line(lifecycle) | ({"interface": self.interface} if self.interface else {})


def send_form_request(client: HttpClient, body: bytes) -> None:
    """Send a request in version 0 of the form, whose body also carries the envelope."""
    client.writer.write(
        b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
        b"Content-Type: application/x-www-form-urlencoded\r\n\r\n%s" % (len(body), body)
    )


def run_request(call: Call) -> pb.RunRequest:
    return pb.RunRequest.FromString(call.body[MESSAGE_PREFIX.size :])


@async_test
async def test_version_0_requests_reach_grpc_planners() -> None:
    """The envelope from the body is sent as metadata, and an unknown tenant keeps its name."""
    async with (
        GrpcPlanner() as planner,
        program(ListedPlanner("p1", planner.port), front=FRONT_TRANSLATION) as running,
    ):
        client = await HttpClient.to(running.port)
        send_form_request(client, REQUEST_V0.replace(b"andes-retail", b"new-member"))
        assert (await client.answer())[::2] == (200, b"price=50&leaves=1800000000")
        [call] = planner.calls
        headers = call.headers
        assert (
            headers["x-request-id"],
            headers["x-class"],
            headers["x-tenant"],
            headers["idempotency-key"],
        ) == (
            "a1",
            "quote",
            "new-member",
            "k-1",
        )
        assert (
            4_000_000 < int(headers["grpc-timeout"][:-1]) < 4_500_000 and run_request(call).quote.pallets == 4
        )
        for body, status in [
            (REQUEST_V0 + b"&req=a2", 400),
            (REQUEST_V0 + b"&plts=5", 422),
            (REQUEST_V0 + b"&colour=red", 422),
            (REQUEST_V0.replace(b"LIM", b"%FF"), 400),
            (REQUEST_V0.replace(b"plts=4", b"plts=4.5"), 422),
        ]:
            client = await HttpClient.to(running.port)
            send_form_request(client, body)
            assert (await client.answer())[0] == status, body
        assert len(planner.calls) == 1


@async_test
async def test_dns_sd_records_name_the_interface() -> None:
    async with (
        GrpcPlanner() as grpc_planner,
        Planner("p2", act=lambda run: run.send_event("done", result=RESULT)) as http_planner,
        name_server() as server,
    ):
        server.add(ListedPlanner("p1", grpc_planner.port), "interface=2")
        server.add(http_planner, "interface=1")
        async with program(
            front=server.front + FRONT_TRANSLATION, settings={"discovery": "pushed"}
        ) as running:
            client = await HttpClient.to(running.port)
            for number in range(20):
                client.ask(f"a{number}", body=JOB_V1)
                assert (await client.answer())[0] == 200
            # The records name the interfaces, so no planner got a request in the other's form.
            assert (
                grpc_planner.calls
                and http_planner.runs
                and len(grpc_planner.calls) + len(http_planner.runs) == 20
            )
            assert len(grpc_planner.peers) == 1


@async_test
async def test_rejection_is_final_and_names_field_value_and_reason() -> None:
    async with (
        GrpcPlanner() as planner,
        program(
            ListedPlanner("p1", planner.port, 2),
            front=FRONT.replace('tenant = "andes-retail" }', 'tenant = "andes-retail", form = 1 }')
            + FRONT_TRANSLATION,
        ) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1", body=JOB_V1[:-1] + b',"hazard":"acid"}')
        status, headers, body = await client.answer()
        assert (status, headers["content-type"]) == (422, "application/problem+json")
        problem = json.loads(body)
        assert problem["status"] == 422 and (problem["field"], problem["value"]) == ("hazard", "acid")
        assert "interface 2" in problem["reason"] and "hazard" in problem["detail"]
        client.ask("a2", body=JOB_V1)  # the connection stays open
        assert (await client.answer())[0] == 200
        gearman_client = await GearmanPeer.to(running.gearman_port)
        handle = await gearman_client.submit(b"plan_quote", b"u1", JOB_V1[:-1] + b',"hazard":"acid"}')
        assert await gearman_client.expect(PacketType.WORK_FAIL) == [handle]
        gearman_client.send(PacketType.OPTION_REQ, b"exceptions")
        await gearman_client.expect(PacketType.OPTION_RES)
        handle = await gearman_client.submit(b"plan_quote", b"u2", JOB_V1[:-1] + b',"hazard":"acid"}')
        assert (await gearman_client.expect(PacketType.WORK_EXCEPTION))[1].startswith(b"hazard: ")
        assert await gearman_client.expect(PacketType.WORK_FAIL) == [handle]
        handle = await gearman_client.submit(b"book_pallet", b"u3", JOB_V1)
        assert (await gearman_client.expect(PacketType.WORK_COMPLETE))[1].startswith(b'{"booking_ref":"B-1"')
        assert [call.headers["x-class"] for call in planner.calls] == ["quote", "book"]


@async_test
async def test_untranslatable_result_is_answered_with_an_error() -> None:
    def finish_with_sub_second_departure(call: Call) -> None:
        call.event(done=pb.Done(offer=pb.Offer(price_cents=1, departs_ms=1_800_000_000_500)))
        call.end()

    async with (
        GrpcPlanner(act=finish_with_sub_second_departure) as planner,
        program(ListedPlanner("p1", planner.port), front=FRONT_TRANSLATION) as running,
    ):
        client = await HttpClient.to(running.port)
        send_form_request(client, REQUEST_V0)
        status, _, body = await client.answer()
        assert status == 500 and json.loads(body)["field"] == "leaves" and len(planner.calls) == 1


@async_test
async def test_second_job_with_the_same_id_is_rejected_while_the_first_runs() -> None:
    async with (
        GrpcPlanner(act=lambda call: None) as planner,
        program(ListedPlanner("p1", planner.port), front=FRONT_TRANSLATION) as running,
    ):
        first, second = await HttpClient.to(running.port), await HttpClient.to(running.port)
        send_form_request(first, REQUEST_V0)
        call = await planner.call(1)
        second.ask("a1", body=JOB_V1)
        assert (await second.answer())[0] == 409
        call.done()
        assert (await first.answer())[0] == 200
        second.ask("a1", body=JOB_V1)
        (await planner.call(2)).done(price=100)
        assert (await second.answer())[2].startswith(b'{"price":1,')


@async_test
async def test_planner_returns_with_the_other_interface_during_attempts() -> None:
    """Its attempts fail, its interface is probed again, and the job, which is safe to repeat, is retried."""
    async with GrpcPlanner(act=lambda call: call.started()) as grpc_planner:
        entry = ListedPlanner("p1", grpc_planner.port)
        async with program(
            entry, front=FRONT_TRANSLATION, settings={"rules": {"askWithin": 500.0}}
        ) as running:
            client = await HttpClient.to(running.port)
            client.ask("a1", body=JOB_V1, X_Deadline="8")
            await grpc_planner.call(1)
            grpc_planner._server.close()
            http_planner = Planner("p1", act=lambda run: run.send_event("done", result=RESULT))
            http_planner._server = await asyncio.start_server(
                http_planner._connected, "127.0.0.1", grpc_planner.port
            )
            http_planner.writers = []
            grpc_planner.abort_connections()
            status, _, body = await client.answer()
            assert (status, json.loads(body)["price"]) == (200, 2)
            assert http_planner.runs[0].headers["x-class"] == "quote" and http_planner.runs[0].body == JOB_V1
            send_form_request(client, REQUEST_V0)
            assert (await client.answer())[::2] == (200, b"price=2&leaves=1800000000")
            http_planner._server.close()


@async_test
async def test_without_translation_nothing_is_translated_or_imported() -> None:
    """A body that is not JSON is passed through unchanged, and no header is added to those of the request."""

    def serve(run: Run) -> None:
        run.send_event("done", result="plan")

    async with Planner("p1", act=serve) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1", body=b"\xff not json", **FORM_HEADERS)
        assert (await client.answer())[0] == 200
        [run] = planner.runs
        assert run.body == b"\xff not json"
        assert set(run.headers) == {"host", "x-request-id", "x-deadline", "content-length"}
        loaded = Path(f"/proc/{running.process.pid}/maps").read_text()
        assert "google/_upb" not in loaded


# ---- the commands


def call(*words: str, env: dict[str, str] | None = None) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(words), env=env)
    return result.exit_code, result.output


def test_init_writes_what_check_accepts_and_overwrites_nothing(tmp_path: Path) -> None:
    folder = tmp_path / "new"
    assert call("init", str(folder))[0] == 0
    env = {"LB_CONFIG": str(folder / "config.json")}
    code, text = call("check", "--front", str(folder / "front.toml"), env=env)
    assert code == 0 and "forms 0, 1, 2 translated" in text
    code, text = call("init", str(folder))
    assert code == 2 and "nothing is written" in text


def test_check_names_the_line_of_a_step_that_would_lose_data(tmp_path: Path) -> None:
    assert call("init", str(tmp_path))[0] == 0
    forms = tmp_path / "translation.toml"
    forms.write_text(forms.read_text().replace('dock = { default = "any" }\n', ""))
    code, text = call(
        "check", "--front", str(tmp_path / "front.toml"), env={"LB_CONFIG": str(tmp_path / "config.json")}
    )
    assert code == 2 and "translation.toml: line " in text and "dock" in text and "Traceback" not in text


@pytest.mark.parametrize("which", ["front", "translation", "experiment"])
def test_schemas_are_printed(which: str) -> None:
    code, text = call("schema", which)
    assert code == 0 and json.loads(text)["$schema"].endswith("2020-12/schema")


@async_test
async def test_changed_class_is_still_translated_by_its_name() -> None:
    """Guards against looking up classes by number: a changed class gets a new number, and the parts that
    translate knew only the numbers of the start."""
    async with (
        GrpcPlanner() as grpc_planner,
        Planner("p2", act=lambda run: run.send_event("done", result=RESULT)) as http_planner,
        program(
            ListedPlanner("p1", grpc_planner.port, 2),
            ListedPlanner("p2", http_planner.port, 1),
            front=FRONT_TRANSLATION,
        ) as running,
    ):
        config = json.loads(running.config.read_text())
        config["settings"]["services"][0] = config["settings"]["services"][0] | {"goalTime": 2000.0}
        running.reload(json.dumps(config))
        await running.logged("changed quote")
        client = await HttpClient.to(running.port)
        for number in range(20):
            client.ask(f"a{number}", body=JOB_V1)
            assert (await client.answer())[0] == 200
        assert {call.headers["x-class"] for call in grpc_planner.calls} == {"quote"} and http_planner.runs
        assert {run.headers["x-class"] for run in http_planner.runs} == {"quote"}
