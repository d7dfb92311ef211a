"""Tests of the reload at SIGHUP: classes, tenants and limits change, running jobs keep their class, and an
invalid file changes nothing."""

import asyncio
import copy
import json
import signal
import tempfile
from pathlib import Path
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import (
    FRONT,
    SETTINGS,
    Catalog,
    GearmanPeer,
    HttpClient,
    Planner,
    Run,
    async_test,
    program,
    read_metrics,
)

from pipitshed.config.class_registry import ClassRegistry
from pipitshed.config.completeness import missing_key
from pipitshed.config.errors import SettingsError
from pipitshed.config.front import load_front
from pipitshed.config.platform import load_platform_config
from pipitshed.config.tenant_registry import TenantRegistry
from pipitshed.protocols.gearman import PacketType
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import EndpointEntry, EndpointsUpdated, JobSubmitted, UpdateKind
from pipitshed.scheduling.settings import Idempotency, JobClass, Settings, Tenant, WeightKind
from pipitshed.server.reload import SettingsReloader
from pipitshed.server.server import SIGKILL_MARGIN_S, Scheduler

QUOTE, BOOK = (
    JobClass(2500.0, 5000.0, idempotency=Idempotency.IDEMPOTENT),
    JobClass(10000.0, 15000.0, idempotency=Idempotency.IDEMPOTENT_WITH_KEY),
)
RUSH = JobClass(500.0, 1000.0)
SHORT_DEADLINE_S = 1.0


def test_a_changed_class_gets_a_new_number_and_a_dropped_class_has_a_grace_period() -> None:
    registry = ClassRegistry.first(["quote", "book"], [QUOTE, BOOK])
    non_idempotent = JobClass(2500.0, 5000.0, idempotency=Idempotency.NON_IDEMPOTENT)
    reloaded, changes = registry.updated(["rush", "quote"], [RUSH, non_idempotent], now=10.0)
    assert reloaded.classes == (QUOTE, BOOK, RUSH, non_idempotent)
    assert reloaded.accepted == {"rush": 2, "quote": 3}
    assert (changes.added, changes.changed, changes.dropped) == (("rush",), ("quote",), ("book",))
    assert reloaded.number("book", 11.0) == 1 and reloaded.number("book", 11.3) is None
    assert reloaded.accepted_at(10.5) == {"book": 1, "rush": 2, "quote": 3}
    restored, changes = reloaded.updated(["quote", "book"], [QUOTE, BOOK], now=12.0)
    assert restored.classes == reloaded.classes and restored.accepted == {"quote": 0, "book": 1}
    assert changes.added == ("book",) and changes.dropped == ("rush",)
    unchanged, changes = restored.updated(["quote", "book"], [QUOTE, BOOK], now=13.0)
    assert unchanged.classes == restored.classes and str(changes) == "classes unchanged"


@given(
    st.lists(
        st.lists(st.sampled_from(["quote", "book", "rush", "slow"]), unique=True, min_size=1),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.sampled_from([QUOTE, BOOK, RUSH]), min_size=24, max_size=24),
)
def test_a_class_number_keeps_its_class(files: list[list[str]], definitions: list[JobClass]) -> None:
    """After any sequence of files, a number stands for the class that it was first assigned to, and the
    accepted names stand for the classes of the file in force."""
    registry, drawn_classes = ClassRegistry.first(["quote"], [QUOTE]), iter(definitions)
    seen = {0: ("quote", QUOTE)}
    for now_s, names in enumerate(files):
        classes = [next(drawn_classes) for _ in names]
        registry, _ = registry.updated(names, classes, now=float(now_s))
        for number, job_class in enumerate(registry.classes):
            seen.setdefault(number, (registry.names[number], job_class))
            assert seen[number] == (registry.names[number], job_class)
        accepted = {name: registry.classes[registry.accepted[name]] for name in names}
        assert accepted == dict(zip(names, classes, strict=True))


def test_class_numbers_are_reused_during_a_day_of_changed_limits() -> None:
    registry, issued = (
        ClassRegistry.first(["quote", "book"], [QUOTE, BOOK]),
        dict[int, tuple[float, JobClass]](),
    )
    for step in range(7800):
        now_s, objective_ms = step * 11.0, 1000.0 + step
        registry, _ = registry.updated(
            ["quote", "book"],
            [JobClass(objective_ms, 5000.0, idempotency=Idempotency.IDEMPOTENT), BOOK],
            now_s,
        )
        number = registry.accepted["quote"]
        if number in issued:  # no job that was accepted with it can be left
            assert now_s - issued[number][0] > 5.0 + 60.0
        for other_number, (last_issued_at, job_class) in list(issued.items()):
            if now_s - last_issued_at <= 65.0:
                assert registry.classes[other_number] == job_class
        issued[number] = now_s, registry.classes[number]
    assert len(registry.classes) < 12 and set(registry.names) == {"quote", "book"}
    non_idempotent = JobClass(
        1.0, 5000.0, idempotency=Idempotency.NON_IDEMPOTENT
    )  # differs in more than limits: gets a new number
    assert registry.updated(["quote"], [non_idempotent], 1e6)[0].accepted["quote"] == len(registry.classes)


def test_a_key_of_the_file_in_force_must_be_present() -> None:
    in_force = {
        "name": "n0",
        "settings": {
            "permissions": {"maxAttempts": 3},
            "services": [
                {"name": "quote", "deadline": 5000, "goalTime": 2500, "repeat": "retryable"},
                {"name": "book", "deadline": 15000, "goalTime": 10000, "window": 25000},
            ],
        },
    }
    assert missing_key(in_force, copy.deepcopy(in_force)) is None
    with_added_class = copy.deepcopy(in_force)
    with_added_class["settings"]["services"].append({"name": "rush", "deadline": 900, "goalTime": 400})
    assert missing_key(in_force, with_added_class) is None
    for path, expected in [
        (("name",), "name"),
        (("settings", "permissions", "maxAttempts"), "settings.permissions.maxAttempts"),
    ]:
        incomplete = copy.deepcopy(in_force)
        *parents, key_to_delete = path
        parent = incomplete
        for key in parents:
            parent = parent[key]
        del parent[key_to_delete]
        assert missing_key(in_force, incomplete) == expected
    incomplete = copy.deepcopy(in_force)
    del incomplete["settings"]["services"][1]["goalTime"]
    assert missing_key(in_force, incomplete) == "settings.services[1].goalTime"
    assert missing_key(in_force, {"name": "n0", "settings": []}) == "settings"


def test_rows_that_do_not_fit_the_file_count_as_an_invalid_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against counting a file as loaded when the cluster's rows cannot be laid over it, and against
    the exception leaving the signal handler."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
    monkeypatch.setenv("LB_CONFIG", str(path))
    parts = Mock(placement_plan=None)
    parts.cluster_node.settings.reapply_over.side_effect = SettingsError("the rows don't fit")
    before = load_platform_config()
    reloader = SettingsReloader(before, Mock(), parts, Mock())
    reloader.reload()
    assert (reloader.invalid_count, reloader.loaded_count) == (1, 0) and reloader.config is before
    assert not parts.discovery.follow.called


def _file(running_config: str, **settings: object) -> str:
    raw = json.loads(running_config)
    raw["settings"] = raw["settings"] | settings
    return json.dumps(raw)


@async_test
async def test_classes_are_added_and_dropped_and_a_running_job_keeps_its_class() -> None:
    held_runs: list[object] = []
    async with (
        Planner(
            "p1",
            act=lambda run: held_runs.append(run) if run.headers["x-request-id"][0] == "b" else run.serve(),
        ) as planner,
        Catalog(planner) as catalog,
        program(catalog=catalog, mgmt=True) as running,
    ):
        await catalog.watches.get()
        first_file = running.config.read_text()
        waiting_client = await HttpClient.to(running.port)
        waiting_client.ask("b1", "book", Idempotency_Key="k1")
        await planner.wait_for(1)
        rush = {"name": "rush", "deadline": 3000.0, "goalTime": 1000.0, "repeat": "retryable"}
        running.reload(_file(first_file, services=[SETTINGS["services"][0], rush]))
        await running.logged("added rush; dropped book")
        client = await HttpClient.to(running.port)
        client.ask("r1", "rush")
        assert (await client.answer())[0] == 200
        assert planner.runs[-1].headers["x-request-id"] == "r1"
        held_runs[0].serve()  # type: ignore[attr-defined]
        assert (await waiting_client.answer())[0] == 200
        await running.logged("classes accepted now: quote, rush")
        client.ask("b2", "book", Idempotency_Key="k2")
        assert (await client.answer())[0] == 400
        metrics = await read_metrics(running.mgmt_port)
        assert metrics["scheduler.answered.book"] == 1 and metrics["scheduler.answered.rush"] == 1
        assert metrics["scheduler.conf_loaded"] == 1


@given(
    st.lists(
        st.lists(st.tuples(st.sampled_from(["andes", "norte", "sur", ""]), st.floats(0.1, 9.0)), max_size=5),
        min_size=1,
        max_size=6,
    )
)
def test_a_tenant_keeps_its_number_across_files(files: list[list[tuple[str, float]]]) -> None:
    """After any sequence of files, a number stands for one name and has the share of the file in force."""
    registry = TenantRegistry.first([name for name, _ in files[0]])
    name_by_number = dict(enumerate(registry.names))
    for file in files:
        registry = registry.updated([name for name, _ in file])
        tenants_by_number = registry.by_number([Tenant(share) for _, share in file])
        assert len(set(registry.numbers)) == len(file)
        for number, (name, share) in zip(registry.numbers, file, strict=True):
            assert (
                name_by_number.setdefault(number, name) == name
                and tenants_by_number[number].quota_share == share
            )
        assert sum(tenant.quota_share for tenant in tenants_by_number) == pytest.approx(
            sum(share for _, share in file)
        )
        accepted = registry.accepted()
        assert accepted.number("nobody") == accepted.unknown == len(tenants_by_number)
        assert set(accepted.by_name) == {name for name, _ in file}


@async_test
async def test_tenants_in_another_order_keep_their_counts_at_both_frontends() -> None:
    """Guards against jobs counted for another tenant after SIGHUP. This happened for 2 s at the HTTP
    frontend, and permanently at the Gearman frontend, whose functions kept the tenant's index in the first
    file."""
    andes, norte, sur = [{"name": name, "share": 1.0} for name in ("andes-retail", "norte", "sur")]
    front_file = FRONT + '[gearman.functions.plan_any]\nclass = "quote"\n'
    with tempfile.TemporaryDirectory() as folder:
        trace = Path(folder) / "trace"
        async with (
            Planner("p1") as planner,
            Catalog(planner) as catalog,
            program(
                catalog=catalog,
                front=front_file,
                settings={"tenants": [andes, norte]},
                env={"LB_TRACE": str(trace)},
            ) as running,
        ):
            await catalog.watches.get()
            client = await HttpClient.to(running.port)
            gearman = await GearmanPeer.to(running.gearman_port)

            async def send_jobs() -> None:
                for tenant in ("andes-retail", "norte", "sur"):
                    client.ask(f"{tenant}-{len(planner.runs)}", X_Tenant=tenant)
                    assert (await client.answer())[0] == 200
                for function in (b"plan_quote", b"plan_any"):
                    await gearman.submit(function, b"", b"six")
                    await gearman.expect(PacketType.WORK_COMPLETE)

            await send_jobs()
            running.reload(_file(running.config.read_text(), tenants=[sur, norte, andes]))
            await running.logged("settings applied")
            await send_jobs()
        tenant_numbers = [
            int(line.partition("tenant=")[2].split()[0])
            for line in trace.read_text().splitlines()
            if " < Submitted " in line
        ]
    assert tenant_numbers == [0, 1, 2, 0, 2] + [0, 1, 2, 0, 3]


@async_test
async def test_a_lower_attempt_limit_is_never_exceeded() -> None:
    def return_job(run: Run) -> None:
        run.send_event("returned")

    async with (
        Planner("p1", act=return_job) as first,
        Planner("p2", act=return_job) as second,
        Catalog(first, second) as catalog,
        program(catalog=catalog) as running,
    ):
        await catalog.watches.get()
        permissions = SETTINGS["permissions"] | {"maxAttempts": 1}
        running.reload(_file(running.config.read_text(), permissions=permissions))
        await running.logged("at most 1 attempts for a job")
        client = await HttpClient.to(running.port)
        for number in range(4):
            client.ask(f"q{number}")
            assert (await client.answer())[0] == 503
        assert len(first.runs) + len(second.runs) == 4


@async_test
async def test_after_a_reload_sigterm_closes_connections_by_the_deadlines_in_force() -> None:
    """Guards against a shutdown timed by the deadlines of the start: connections stayed open past the SIGKILL
    that the new deadlines allow, and what clients sent on them was lost."""
    loop = asyncio.get_running_loop()
    async with Planner("p1") as planner, Catalog(planner) as catalog, program(catalog=catalog) as running:
        await catalog.watches.get()
        short = [service | {"deadline": SHORT_DEADLINE_S * 1000} for service in SETTINGS["services"]]
        running.reload(_file(running.config.read_text(), services=short))
        await running.logged("settings applied")
        client = await HttpClient.to(running.port)
        client.ask("q1")
        assert (await client.answer())[0] == 200
        sigterm_at = loop.time()
        running.process.send_signal(signal.SIGTERM)
        assert await client.reader.read() == b""
        assert loop.time() - sigterm_at < SHORT_DEADLINE_S + SIGKILL_MARGIN_S


@async_test
async def test_an_invalid_file_changes_nothing_and_is_counted() -> None:
    async with (
        Planner("p1") as planner,
        Catalog(planner) as catalog,
        program(catalog=catalog, mgmt=True) as running,
    ):
        await catalog.watches.get()
        valid = running.config.read_text()
        raw = json.loads(valid)
        without_max_attempts = copy.deepcopy(raw)
        del without_max_attempts["settings"]["permissions"]["maxAttempts"]
        invalid_files = ["", valid[: len(valid) // 2], json.dumps(without_max_attempts)]
        for services in (
            [SETTINGS["services"][0] | {"deadline": 0}],
            [SETTINGS["services"][0] | {"deadline": -5.0}],
            [SETTINGS["services"][0] | {"deadline": "soon"}],
        ):
            invalid_files.append(_file(valid, services=services))
        for max_attempts in (0, -1, 2.5, "two"):
            invalid_files.append(
                _file(valid, permissions=SETTINGS["permissions"] | {"maxAttempts": max_attempts})
            )
        for number, text in enumerate(invalid_files, 1):
            running.reload(text)
            await running.logged("the previous one stays in force", number)
        metrics = await read_metrics(running.mgmt_port)
        invalid_and_loaded = (metrics["scheduler.conf_invalid"], metrics["scheduler.conf_loaded"])
        assert invalid_and_loaded == (len(invalid_files), 0)
        client = await HttpClient.to(running.port)
        client.ask("b1", "book", Idempotency_Key="k1")
        assert (await client.answer())[0] == 200
        assert planner.runs[-1].headers["idempotency-key"] == "k1"
        assert not any("settings applied" in line for line in running.log)


def test_names_listed_in_another_order_keep_their_numbers(tmp_path: Path) -> None:
    """The endpoint table keeps the zone and kind numbers of the start. A file with the same names in another
    order must not change the scheduler's own zone, or give a class the planners of another kind."""

    async def check() -> None:
        services = SETTINGS["services"]
        listed = SETTINGS | {"familyInfo": {"classKind": [-1, 2]}}
        reordered = listed | {
            "areas": SETTINGS["areas"][::-1],
            "locality": 1,
            "shapes": SETTINGS["shapes"][::-1],
            "familyInfo": {"classKind": [-1, 0]},
            "services": services,
            "stats": {"fields": ["x1", "x0"], "source": "inline"},
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": listed}))
        config = load_platform_config({"LB_CONFIG": str(path)})
        scheduler = Scheduler(config, load_front(None, config), asyncio.get_running_loop())
        path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": reordered}))
        scheduler.reloader.apply(load_platform_config({"LB_CONFIG": str(path)}))
        settings = scheduler.parts.forwarder.settings
        assert settings.own_zone == 0 and [cls.worker_kind for cls in settings.classes] == [None, 2]
        assert list(scheduler.parts.http_workers.report_fields) == ["x1", "x0"]
        assert settings.report_fields == ("free_memory", "free_slots")
        for listener in scheduler.parts.listeners:
            listener.close()

    asyncio.run(check())


def test_a_class_added_after_the_plan_uses_the_weights_of_the_list() -> None:
    dispatcher = Dispatcher(Settings(classes=(QUOTE,), weight_kind=WeightKind.ROUGH), 1)
    dispatcher.handle(
        0.0,
        [
            EndpointsUpdated(
                UpdateKind.CACHED,
                1,
                (
                    EndpointEntry(b"p1", weight=0.0, planned_weights=(5.0,)),
                    EndpointEntry(b"p2", weight=1.0, planned_weights=(0.0,)),
                ),
            )
        ],
    )
    dispatcher.apply_settings(Settings(classes=(QUOTE, RUSH), weight_kind=WeightKind.ROUGH))
    actions = dispatcher.handle(
        1.0, [JobSubmitted(1, 900.0, job_class=0), JobSubmitted(2, 900.0, job_class=1)]
    )
    assert [action.worker for action in actions if isinstance(action, StartAttempt)] == [b"p1", b"p2"]
