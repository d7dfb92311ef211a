"""The Gearman front end: its clients and workers, and the same guarantees as at the HTTP front end."""

import asyncio
from collections import Counter
from typing import Any

import pytest
from loopback import FRONT, NON_IDEMPOTENT_BOOK, GearmanPeer, HttpClient, Planner, Run, async_test, program

from pipitshed.protocols.gearman import PACKET_HEADER, REQUEST_MAGIC, PacketType, encode_packet


@async_test
async def test_gearman_clients_reach_http_planners() -> None:
    async with Planner("p1") as planner, program(planner, front=FRONT) as running:
        client = await GearmanPeer.to(running.gearman_port)
        for kind in (PacketType.SUBMIT_JOB, PacketType.SUBMIT_JOB_HIGH, PacketType.SUBMIT_JOB_LOW):
            handle = await client.submit(b"plan_quote", b"", kind.name.encode(), kind)
            assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of " + kind.name.encode()]
        await client.submit(b"book_pallet", b"k1", b"four", PacketType.SUBMIT_JOB_BG)
        run = await planner.wait_for(4)
        assert (run.headers["idempotency-key"], run.body) == ("book_pallet:k1", b"four")
        ids = {run.headers["x-request-id"] for run in planner.runs}
        assert len(ids) == 4


@async_test
async def test_http_clients_reach_gearman_workers() -> None:
    async with program(front=FRONT) as running:
        worker = await GearmanPeer.to(running.gearman_port)
        await worker.register(b"plan_quote")
        client = await HttpClient.to(running.port)
        client.ask("a1", body=b"six")
        handle, function, body = await worker.grab()
        assert (function, body) == (b"plan_quote", b"six")
        worker.send(PacketType.WORK_DATA, handle, b"plan of ")
        worker.send(PacketType.WORK_STATUS, handle, b"1", b"2")
        worker.send(PacketType.WORK_COMPLETE, handle, b"six")
        assert (await client.answer())[::2] == (200, b"plan of six")
        worker.send(PacketType.GRAB_JOB_UNIQ)
        await worker.expect(PacketType.NO_JOB)


@async_test
async def test_a_worker_that_disconnects_during_a_job_is_a_reset() -> None:
    """The quote goes to the next worker. The booking may have run, and its class forbids a second run: it is
    neither retried nor run for a resubmission."""
    async with program(front=FRONT, settings=NON_IDEMPOTENT_BOOK) as running:
        client = await GearmanPeer.to(running.gearman_port)
        for function, unique in [(b"plan_quote", b"q1"), (b"book_pallet", b"b1")]:
            worker = await GearmanPeer.to(running.gearman_port)
            await worker.register(function)
            handle = await client.submit(function, unique, b"six")
            await worker.grab()
            worker.writer.transport.abort()
            if function == b"plan_quote":
                second = await GearmanPeer.to(running.gearman_port)
                await second.register(function)
                attempt, _, body = await second.grab()
                second.send(PacketType.WORK_COMPLETE, attempt, b"plan of " + body)
                assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of six"]
        assert await client.expect(PacketType.WORK_FAIL) == [handle]
        other = await GearmanPeer.to(running.gearman_port)
        await other.register(b"book_pallet")
        again = await client.submit(b"book_pallet", b"b1", b"six")
        assert await client.expect(PacketType.WORK_FAIL) == [again]
        assert await other.is_asleep()


@async_test
async def test_a_job_that_was_not_assigned_has_not_run() -> None:
    """A worker that was woken but not assigned the job disconnects: another worker gets the booking."""
    async with program(front=FRONT) as running:
        first, second, client = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        await first.register(b"book_pallet")
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        await first.expect(PacketType.NOOP)
        await second.register(b"book_pallet")
        first.writer.transport.abort()
        attempt, _, _ = await second.grab()
        second.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]


@async_test
async def test_a_resubmission_joins_the_running_job_and_gets_its_result() -> None:
    async with program(front=FRONT) as running:
        worker, gone, client, late = [await GearmanPeer.to(running.gearman_port) for _ in range(4)]
        await worker.register(b"book_pallet")
        await gone.submit(b"book_pallet", b"b1", b"six")
        attempt, _, _ = await worker.grab()
        gone.writer.transport.abort()
        handles = [await client.submit(b"book_pallet", b"b1", b"six") for _ in range(2)]
        worker.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        worker.send(PacketType.PRE_SLEEP)
        answers = [await client.expect(PacketType.WORK_COMPLETE) for _ in handles]
        assert answers == [[handle, b"booked"] for handle in handles]
        handle = await late.submit(b"book_pallet", b"b1", b"six")
        assert await late.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]
        assert await worker.is_asleep()


@async_test
async def test_a_worker_that_withdraws_its_ability_gets_no_new_jobs() -> None:
    async with program(front=FRONT) as running:
        draining, other, client = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        await draining.register(b"plan_quote", b"book_pallet")
        waiting = await client.submit(b"book_pallet", b"b0", b"six")
        await draining.expect(PacketType.NOOP)
        await other.register(b"book_pallet")
        draining.send(PacketType.CANT_DO, b"book_pallet")  # its waiting job goes to the other worker
        for number in range(5):
            attempt, _, _ = await other.grab()
            other.send(PacketType.WORK_COMPLETE, attempt, b"booked")
            other.send(PacketType.PRE_SLEEP)
            assert await client.expect(PacketType.WORK_COMPLETE) == [waiting, b"booked"]
            waiting = await client.submit(b"book_pallet", b"b%d" % (number + 1), b"six")
        attempt, _, _ = await other.grab()
        other.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        draining.send(PacketType.GRAB_JOB)
        await draining.expect(PacketType.NO_JOB)


@pytest.mark.parametrize(
    ("function", "kinds"),
    [
        (b"plan_quote", [PacketType.WORK_WARNING, PacketType.WORK_FAIL]),
        (b"book_pallet", [PacketType.WORK_FAIL]),
    ],
)
def test_the_response_arrives_before_the_deadline(function: bytes, kinds: list[PacketType]) -> None:
    """The attempt ends at the same time: its worker's connection is closed."""

    @async_test
    async def run() -> None:
        async with program(front=FRONT.replace(" }", ", patience-s = 0.3 }")) as running:
            worker, client = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
            await worker.register(function)
            started_at = asyncio.get_running_loop().time()
            await client.submit(function, b"k1", b"six")
            await worker.grab()
            assert [(await client.receive())[0] for _ in kinds] == kinds
            assert asyncio.get_running_loop().time() - started_at < 0.3
            assert await worker.reader.read() == b""

    run()


@async_test
async def test_a_stalled_job_does_not_end_the_worker_s_other_jobs() -> None:
    """Guards against a booking that fails because another client's job closes its worker's connection."""
    front_toml = FRONT.replace(
        'plan_quote = { class = "quote"', 'plan_quote = { patience-s = 0.3, class = "quote"'
    )
    async with program(front=front_toml, settings=NON_IDEMPOTENT_BOOK) as running:
        worker, impatient, client = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        await worker.register(b"plan_quote", b"book_pallet")
        await impatient.submit(b"plan_quote", b"q1", b"six")
        await worker.grab()
        worker.send(PacketType.PRE_SLEEP)
        handle = await client.submit(b"book_pallet", b"b1", b"four")
        attempt, _, _ = await worker.grab()
        assert [(await impatient.receive())[0] for _ in range(2)] == [
            PacketType.WORK_WARNING,
            PacketType.WORK_FAIL,
        ]
        assert await worker.is_asleep()
        worker.send(PacketType.CAN_DO, b"plan_quote")  # the worker still gets no new job
        worker.send(PacketType.GRAB_JOB)
        await worker.expect(PacketType.NO_JOB)
        worker.send(PacketType.WORK_COMPLETE, attempt, b"booked")
        assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"booked"]
        assert await worker.reader.read() == b""


@async_test
async def test_can_do_timeout_limits_the_attempt() -> None:
    """The timeout ends the attempt long before the class's deadline, and closes the connection."""
    async with program(front=FRONT) as running:
        worker, client = [await GearmanPeer.to(running.gearman_port) for _ in range(2)]
        worker.send(PacketType.CAN_DO_TIMEOUT, b"book_pallet", b"1")
        await worker.register()
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        await worker.expect(PacketType.NOOP)
        worker.send(PacketType.GRAB_JOB_ALL)
        assert (await worker.expect(PacketType.JOB_ASSIGN_ALL))[1:] == [b"book_pallet", b"b1", b"", b"six"]
        started_at = asyncio.get_running_loop().time()
        assert await client.expect(PacketType.WORK_FAIL) == [handle]
        assert asyncio.get_running_loop().time() - started_at < 5
        assert await worker.reader.read() == b""


@async_test
async def test_bad_packets_get_an_error_and_split_ones_are_reassembled() -> None:
    async with Planner("p1") as planner, program(planner, front=FRONT) as running:
        for data in [
            b"\0RES" + bytes(8),
            PACKET_HEADER.pack(REQUEST_MAGIC, 999, 0),
            PACKET_HEADER.pack(REQUEST_MAGIC, 7, 1 << 30),
            encode_packet(PacketType.SUBMIT_JOB, b"plan_quote", magic=REQUEST_MAGIC),
            encode_packet(PacketType.NOOP, magic=REQUEST_MAGIC),
            encode_packet(PacketType.CAN_DO_TIMEOUT, b"plan_quote", b"soon", magic=REQUEST_MAGIC),
        ]:
            peer = await GearmanPeer.to(running.gearman_port)
            peer.writer.write(data)
            assert (await peer.expect(PacketType.ERROR))[0] == b"ERR_BAD_PACKET"
            assert await peer.reader.read() == b""
        client = await GearmanPeer.to(running.gearman_port)
        packet = encode_packet(PacketType.SUBMIT_JOB, b"plan_quote", b"", b"a\0b", magic=REQUEST_MAGIC)
        for offset in range(len(packet)):
            client.writer.write(packet[offset : offset + 1])
            await asyncio.sleep(0)
        [handle] = await client.expect(PacketType.JOB_CREATED)
        assert await client.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of a", b"b"]
        client.send(PacketType.SUBMIT_JOB, b"fly", b"", b"")
        assert (await client.expect(PacketType.ERROR))[0] == b"ERR_UNKNOWN_FUNCTION"
        client.send(PacketType.SUBMIT_JOB, b"plan_quote", b"", b"a" * 65_537)
        assert (await client.expect(PacketType.ERROR))[0] == b"ERR_TOO_LARGE"


@async_test
async def test_status_options_and_text_commands() -> None:
    # The failed job is retried until its deadline, but its worker requests no further job.
    async with program(front=FRONT.replace(" }", ", patience-s = 2.0 }")) as running:
        worker, client, admin = [await GearmanPeer.to(running.gearman_port) for _ in range(3)]
        worker.send(PacketType.SET_CLIENT_ID, b"depot-7")
        await worker.register(b"book_pallet")
        client.send(PacketType.OPTION_REQ, b"exceptions")
        assert await client.expect(PacketType.OPTION_RES) == [b"exceptions"]
        handle = await client.submit(b"book_pallet", b"b1", b"six")
        attempt, _, _ = await worker.grab()
        worker.send(PacketType.WORK_STATUS, attempt, b"1", b"4")
        assert await client.expect(PacketType.WORK_STATUS) == [handle, b"25", b"100"]
        client.send(PacketType.GET_STATUS, handle)
        assert await client.expect(PacketType.STATUS_RES) == [handle, b"1", b"1", b"25", b"100"]
        admin.writer.write(b"status\nworkers\nversion\nfly\n")
        lines = [(await admin.reader.readline()).decode().rstrip() for _ in range(7)]
        assert lines[:3] == ["plan_quote\t0\t0\t0", "book_pallet\t1\t1\t1", "."]
        assert lines[3:5] == ["- - depot-7 : book_pallet", "."] and lines[5].startswith("OK pipitshed")
        assert lines[6].startswith("ERR")
        worker.send(PacketType.WORK_EXCEPTION, attempt, b"no truck")
        assert await client.expect(PacketType.WORK_EXCEPTION) == [handle, b"no truck"]
        assert await client.expect(PacketType.WORK_FAIL) == [handle]
        client.send(PacketType.GET_STATUS, handle)
        assert await client.expect(PacketType.STATUS_RES) == [handle, b"0", b"0", b"0", b"0"]


JOBS = [
    (name, body)
    for name in ("quote", "book")
    for body in (b"serve", b"serve", b"lose", b"serve", b"fail", b"serve", b"stall", b"serve")
]


async def over_http(port: int, count: Any) -> None:
    client = await HttpClient.to(port)
    for number, (name, body) in enumerate(JOBS):
        client.ask(f"h{number}", name, body, Idempotency_Key=f"h{number}", X_Deadline="1.0")
        status, _, _ = await client.answer()
        count[name, body, {200: "served", 503: "refused", 500: "failed"}[status]] += 1
    client.ask("last", "quote", b"serve")  # a surplus response would precede this one's
    count["one answer each", (await client.answer())[2] == b"plan of serve"] += 1


async def over_gearman(port: int, count: Any) -> None:
    client = await GearmanPeer.to(port)
    for number, (name, body) in enumerate(JOBS):
        function = b"plan_quote" if name == "quote" else b"book_pallet"
        handle = await client.submit(function, b"g%d" % number, body)
        kind, arguments = await client.receive()
        if kind is PacketType.WORK_WARNING:
            assert await client.expect(PacketType.WORK_FAIL) == [handle]
        assert arguments[0] == handle
        count[
            name,
            body,
            {
                PacketType.WORK_COMPLETE: "served",
                PacketType.WORK_WARNING: "refused",
                PacketType.WORK_FAIL: "failed",
            }[kind],
        ] += 1
    client.send(PacketType.ECHO_REQ, b"last")
    count["one answer each", (await client.receive())[0] is PacketType.ECHO_RES] += 1


@async_test
async def test_both_front_ends_give_the_same_guarantees() -> None:
    """The same jobs from both front ends go to an HTTP planner and a Gearman worker that behave alike: the
    responses are the same in number and kind, and no key runs twice."""
    runs: Counter[str] = Counter()

    def act(run: Run) -> None:
        runs[run.headers.get("idempotency-key", "")] += 1
        run.send_event("started")
        if run.body != b"stall":
            ends = {b"serve": "done", b"lose": "lost", b"fail": "failed"}
            run.send_event(ends[run.body], result="plan of " + run.body.decode())

    async def work(port: int) -> None:
        while True:
            worker = await GearmanPeer.to(port)
            try:
                worker.send(PacketType.CAN_DO, b"plan_quote")
                worker.send(PacketType.CAN_DO, b"book_pallet")
                while True:
                    worker.send(PacketType.PRE_SLEEP)
                    await worker.expect(PacketType.NOOP)
                    worker.send(PacketType.GRAB_JOB_UNIQ)
                    attempt, _, unique, body = await worker.expect(PacketType.JOB_ASSIGN_UNIQ)
                    runs[unique.decode()] += 1
                    if body == b"lose":
                        break
                    if body == b"fail":
                        worker.send(PacketType.WORK_FAIL, attempt)
                    elif body == b"serve":
                        worker.send(PacketType.WORK_COMPLETE, attempt, b"plan of " + body)
            except asyncio.IncompleteReadError:
                pass  # the scheduler closed the connection after a stalled job
            worker.writer.transport.abort()

    front = FRONT.replace(" }", ", patience-s = 1.0 }")
    async with (
        Planner("p1", act=act) as planner,
        program(planner, front=front, settings=NON_IDEMPOTENT_BOOK) as running,
    ):
        worker = asyncio.create_task(work(running.gearman_port))
        counts: dict[str, Counter[object]] = {"http": Counter(), "gearman": Counter()}
        await asyncio.gather(
            over_http(running.port, counts["http"]), over_gearman(running.gearman_port, counts["gearman"])
        )
        worker.cancel()
    assert counts["http"] == counts["gearman"]
    assert counts["http"]["one answer each", True] == 1 and counts["http"]["book", b"lose", "failed"] == 1
    # A Gearman worker gets the unique id beside the function, a planner one key made of both.
    booked = [f"{front}{number}" for front in "hg" for number, (name, _) in enumerate(JOBS) if name == "book"]
    assert {runs[key] + runs[f"book_pallet:{key}"] for key in booked} == {1}
