"""Old clients before both interfaces, the whole program between them."""

import asyncio
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from grpc_peer import Call, GrpcPlanner
from loopback import FRONT, GearmanPeer, HttpClient, Planner, Run, async_test, program
from name_server import SERVICE, NameServer

from pipitshed.cli.commands import main
from pipitshed.protocols.gearman import PacketType
from pipitshed.protocols.grpc import MESSAGE_PREFIX
from pipitshed.worker_api import planner_pb2 as pb

FORMS_FILE = Path(__file__).parent.parent / "deploy" / "translation.toml"
TRANSLATE = f'\n[translation]\nfile = "{FORMS_FILE}"\n'
V0 = b"req=a1&cls=quote&member=andes-retail&key=k-1&wait=4.5&from=LIM&to=AQP&plts=4"
JOB = b'{"origin":"LIM","destination":"AQP","pallets":4}'
PLAN = '{"price":2,"departs":"2027-01-15T08:00:00Z"}'
FORM = {"Content_Type": "application/x-www-form-urlencoded"}


class Row(Planner):
    """A planner's row for one that is scripted elsewhere; it tells its interface, or not."""

    def __init__(self, name: str, port: int, interface: int = 0) -> None:
        super().__init__(name)
        self.port, self.interface = port, interface

    def line(self, lifecycle: str = "ready") -> dict[str, object]:
        return super().line(lifecycle) | ({"interface": self.interface} if self.interface else {})


def ask_form(client: HttpClient, body: bytes) -> None:
    """A terminal of version 0: its body tells the envelope too."""
    client.writer.write(
        b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
        b"Content-Type: application/x-www-form-urlencoded\r\n\r\n%s" % (len(body), body)
    )


def told(call: Call) -> pb.RunRequest:
    return pb.RunRequest.FromString(call.body[MESSAGE_PREFIX.size :])


@async_test
async def test_the_oldest_terminals_reach_the_newest_planners() -> None:
    """The envelope that stands in the body is told as metadata; an unknown tenant keeps its name."""
    async with GrpcPlanner() as planner, program(Row("p1", planner.port), front=TRANSLATE) as running:
        client = await HttpClient.to(running.port)
        ask_form(client, V0.replace(b"andes-retail", b"new-member"))
        assert (await client.answer())[::2] == (200, b"price=50&leaves=1800000000")
        [call] = planner.calls
        head = call.headers
        assert (head["x-request-id"], head["x-class"], head["x-tenant"], head["idempotency-key"]) == (
            "a1",
            "quote",
            "new-member",
            "k-1",
        )
        assert 4_000_000 < int(head["grpc-timeout"][:-1]) < 4_500_000 and told(call).quote.pallets == 4
        for body, status in [
            (V0 + b"&req=a2", 400),
            (V0 + b"&plts=5", 422),
            (V0 + b"&colour=red", 422),
            (V0.replace(b"LIM", b"%FF"), 400),
            (V0.replace(b"plts=4", b"plts=4.5"), 422),
        ]:
            client = await HttpClient.to(running.port)
            ask_form(client, body)
            assert (await client.answer())[0] == status, body
        assert len(planner.calls) == 1


@async_test
async def test_records_of_dns_sd_tell_the_interface() -> None:
    loop = asyncio.get_running_loop()
    _, server = await loop.create_datagram_endpoint(NameServer, local_addr=("127.0.0.1", 0))
    front = f'[dns-sd]\nserver = "127.0.0.1:{server.port}"\nservice = "{SERVICE}"\n{TRANSLATE}'
    async with (
        GrpcPlanner() as newer,
        Planner("p2", act=lambda run: run.send_event("done", result=PLAN)) as older,
    ):
        server.add(Row("p1", newer.port), "interface=2")
        server.add(older, "interface=1")
        async with program(front=front, settings={"discovery": "pushed"}) as running:
            client = await HttpClient.to(running.port)
            for number in range(20):
                client.ask(f"a{number}", body=JOB)
                assert (await client.answer())[0] == 200
            # Each was known from its record: nobody was sent what it could not read.
            assert newer.calls and older.runs and len(newer.calls) + len(older.runs) == 20
            assert len(newer.peers) == 1
    server.transport.close()


@async_test
async def test_a_refusal_is_final_and_names_field_value_and_reason() -> None:
    async with (
        GrpcPlanner() as planner,
        program(
            Row("p1", planner.port, 2),
            front=FRONT.replace('tenant = "andes-retail" }', 'tenant = "andes-retail", form = 1 }')
            + TRANSLATE,
        ) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1", body=JOB[:-1] + b',"hazard":"acid"}')
        status, headers, body = await client.answer()
        assert (status, headers["content-type"]) == (422, "application/problem+json")
        problem = json.loads(body)
        assert problem["status"] == 422 and (problem["field"], problem["value"]) == ("hazard", "acid")
        assert "interface 2" in problem["reason"] and "hazard" in problem["detail"]
        client.ask("a2", body=JOB)  # the connection stays
        assert (await client.answer())[0] == 200
        depot = await GearmanPeer.to(running.gearman_port)
        handle = await depot.submit(b"plan_quote", b"u1", JOB[:-1] + b',"hazard":"acid"}')
        assert await depot.expect(PacketType.WORK_FAIL) == [handle]
        depot.send(PacketType.OPTION_REQ, b"exceptions")
        await depot.expect(PacketType.OPTION_RES)
        handle = await depot.submit(b"plan_quote", b"u2", JOB[:-1] + b',"hazard":"acid"}')
        assert (await depot.expect(PacketType.WORK_EXCEPTION))[1].startswith(b"hazard: ")
        assert await depot.expect(PacketType.WORK_FAIL) == [handle]
        handle = await depot.submit(b"book_pallet", b"u3", JOB)
        assert (await depot.expect(PacketType.WORK_COMPLETE))[1].startswith(b'{"booking_ref":"B-1"')
        assert [call.headers["x-class"] for call in planner.calls] == ["quote", "book"]


@async_test
async def test_a_result_that_cannot_be_told_is_a_failure_that_says_so() -> None:
    def late(call: Call) -> None:
        call.event(done=pb.Done(offer=pb.Offer(price_cents=1, departs_ms=1_800_000_000_500)))
        call.end()

    async with GrpcPlanner(act=late) as planner, program(Row("p1", planner.port), front=TRANSLATE) as running:
        client = await HttpClient.to(running.port)
        ask_form(client, V0)
        status, _, body = await client.answer()
        assert status == 500 and json.loads(body)["field"] == "leaves" and len(planner.calls) == 1


@async_test
async def test_two_depots_that_use_one_id_at_once_are_told_apart() -> None:
    async with (
        GrpcPlanner(act=lambda call: None) as planner,
        program(Row("p1", planner.port), front=TRANSLATE) as running,
    ):
        first, second = await HttpClient.to(running.port), await HttpClient.to(running.port)
        ask_form(first, V0)
        call = await planner.call(1)
        second.ask("a1", body=JOB)
        assert (await second.answer())[0] == 409
        call.done()
        assert (await first.answer())[0] == 200
        second.ask("a1", body=JOB)
        (await planner.call(2)).done(price=100)
        assert (await second.answer())[2].startswith(b'{"price":1,')


@async_test
async def test_a_planner_comes_back_with_the_other_interface_while_attempts_are_out() -> None:
    """Its attempts break, its interface is found out anew, and the safe job is drawn again."""
    async with GrpcPlanner(act=lambda call: call.started()) as newer:
        row = Row("p1", newer.port)
        async with program(row, front=TRANSLATE, settings={"rules": {"askWithin": 500.0}}) as running:
            client = await HttpClient.to(running.port)
            client.ask("a1", body=JOB, X_Deadline="8")
            await newer.call(1)
            newer._server.close()
            old = Planner("p1", act=lambda run: run.send_event("done", result=PLAN))
            old._server = await asyncio.start_server(old._connected, "127.0.0.1", newer.port)
            old.writers = []
            newer.abort_connections()
            status, _, body = await client.answer()
            assert (status, json.loads(body)["price"]) == (200, 2)
            assert old.runs[0].headers["x-class"] == "quote" and old.runs[0].body == JOB
            ask_form(client, V0)
            assert (await client.answer())[::2] == (200, b"price=2&leaves=1800000000")
            old._server.close()


@async_test
async def test_without_the_section_nothing_is_translated_or_imported() -> None:
    """A body that is no JSON goes through as it came, and the old head is what it was, byte for byte."""

    def serve(run: Run) -> None:
        run.send_event("done", result="plan")

    async with Planner("p1", act=serve) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1", body=b"\xff not json", **FORM)
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


def test_check_names_the_line_of_a_step_that_would_lose_something(tmp_path: Path) -> None:
    assert call("init", str(tmp_path))[0] == 0
    forms = tmp_path / "translation.toml"
    forms.write_text(forms.read_text().replace('dock = { default = "any" }\n', ""))
    code, text = call(
        "check", "--front", str(tmp_path / "front.toml"), env={"LB_CONFIG": str(tmp_path / "config.json")}
    )
    assert code == 2 and "translation.toml: line " in text and "dock" in text and "Traceback" not in text


@pytest.mark.parametrize("which", ["front", "translation", "experiment"])
def test_schemas_are_made_from_the_types(which: str) -> None:
    code, text = call("schema", which)
    assert code == 0 and json.loads(text)["$schema"].endswith("2020-12/schema")


@async_test
async def test_a_class_that_is_changed_while_messages_are_translated_is_still_known_by_name() -> None:
    """The failure met: a changed class has a number of its own, and the parts that translate knew only the
    numbers of the start."""
    async with (
        GrpcPlanner() as newer,
        Planner("p2", act=lambda run: run.send_event("done", result=PLAN)) as older,
        program(Row("p1", newer.port, 2), Row("p2", older.port, 1), front=TRANSLATE) as running,
    ):
        config = json.loads(running.config.read_text())
        config["settings"]["services"][0] = config["settings"]["services"][0] | {"goalTime": 2000.0}
        running.reload(json.dumps(config))
        await running.logged("changed quote")
        client = await HttpClient.to(running.port)
        for number in range(20):
            client.ask(f"a{number}", body=JOB)
            assert (await client.answer())[0] == 200
        assert {call.headers["x-class"] for call in newer.calls} == {"quote"} and older.runs
        assert {run.headers["x-class"] for run in older.runs} == {"quote"}
