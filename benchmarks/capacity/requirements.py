"""The operators' requirements, the measured lines that show whether they are met, and the table contents."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.figures import Figure, Line, constant, plus, ratio, times
from pipitshed.scheduling.attempt_watchdog import STALLED_PROGRESS_INTERVALS

# Required load of the whole fleet, and the budgets; those of CPU, memory and network are for control.
PLANNERS, SCHEDULERS, REGIONS, ZONES, TEAMS = 4600, 300, 3, 7, 380
STARTS_PER_S, RUNNING_TASKS, JOBS_PER_DAY, GANG_MEMBERS = 280, 29_000, 43_000, 128
CHANGES_PER_DAY, IN_FORCE_BUDGET_MS, URGENT_BUDGET_MS = 7800, 5000.0, 2700.0
CPU_BUDGET_CORES, MEMORY_BUDGET_MB, NETWORK_BUDGET_BYTES_PER_S, CONTROL_MACHINES = 0.032, 256.0, 9000.0, 12
FAILED_PER_DAY, REPLACED_PER_DAY = 23, 410
DAY_S = 86_400
# Assumptions where the requirements are open; docs/CAPACITY.md names each.
ASSUMED_SCHEDULERS = (150, 300, 600)
HEAVIEST_FACTOR = 4  # load of the heaviest scheduler in multiples of the mean
RACK_PLANNERS = 40  # planners behind one switch
SOCKET_LIMIT = 1024.0  # `limits.sockets` of a deployment
PROGRESS_MS = 2000.0  # between a planner's progress notes of a task

STARTS_PER_SCHEDULER, TASKS_PER_SCHEDULER = STARTS_PER_S / SCHEDULERS, RUNNING_TASKS / SCHEDULERS
ZONE_PLANNERS = PLANNERS // ZONES

# ---- the measured lines

FIRST_JOB = Line("planners", "compact", "first_job_ms", "linear", "ms")
LIST_COMPACT = Line("planners", "compact", "list_bytes", "linear", "bytes")
LIST_INDENTED = Line("planners", "indented", "list_bytes", "linear", "bytes")
TAKEN_COMPACT = Line("planners", "compact", "taken", "constant")
TAKEN_INDENTED = Line("planners", "indented", "taken", "constant")
LISTS_ASKED = Line("planners", "compact", "lists_asked", "constant")
START_CPU = Line("planners", "compact", "start_cpu_ms", "linear", "ms")
MEMORY = Line("planners", "compact", "memory_mb", "linear", "MB")
JOB_CPU = Line("planners", "compact", "job_us", "constant", "us")
LIST_CHANGE = Line("planners", "compact", "change_us", "linear", "us")
ZONE_LOST_ONE_READ = Line("planners", "compact", "zone_one_read_ms", "linear", "ms")
ZONE_LOST_PER_ROW = Line("planners", "compact", "zone_row_us", "linear", "us")
REST_CPU = Line("planners", "compact", "rest_share", "constant", "of a core")
HELD_MEMORY = Line("held", "calm", "memory_added_mb", "linear", "MB", relative=False)
HELD_CPU = Line("held", "calm", "cpu_share", "linear", "of a core")
HELD_DESCRIPTORS = Line("held", "calm", "descriptors", "linear")
HELD_TIMERS = Line("held", "calm", "timers_each", "constant")
STARTS_CPU = Line("starts", "calm", "cpu_share", "linear", "of a core")
START_DESCRIPTORS = Line("starts", "calm", "descriptors", "sqrt")
URGENT_P50 = Line("urgent", "full", "p50_ms", "constant", "ms")
URGENT_P99 = Line("urgent", "full", "p99_ms", "constant", "ms")
URGENT_WORST = Line("urgent", "full", "worst_ms", "constant", "ms")
URGENT_LATE = Line("urgent", "full", "late_share", "constant")
GANG_WHOLE = Line("gangs", "nine tenths full", "whole_share", "constant")
GANG_LOST = Line("gangs", "nine tenths full", "lost_slot_s", "linear", "slot seconds")
RELOAD = Line("reload", "calm", "cpu_ms", "linear", "ms")
RELOAD_IN_FORCE = Line("reload", "calm", "in_force_ms", "linear", "ms")
RELOAD_FILE = Line("reload", "calm", "file_bytes", "linear", "bytes")
VIEW_BYTES = Line("schedulers", "rest", "out_bytes_per_s", "linear", "bytes/s")
VIEW_HEAVIEST = Line("schedulers", "rest", "heaviest_out_bytes_per_s", "linear", "bytes/s")
VIEW_LOSS = Line("schedulers", "loss 1%", "out_bytes_per_s", "linear", "bytes/s")
VIEW_MESSAGES = Line("schedulers", "rest", "messages_per_s", "linear", "messages/s")
VIEW_CPU = Line("schedulers", "rest", "cpu_share", "sqrt", "of a core")
VIEW_MEMORY = Line("schedulers", "rest", "memory_mb", "linear", "MB")
JOIN_SECOND = Line("schedulers", "join storm", "worst_second_out_bytes", "constant", "bytes")
JOIN_BYTES = Line("schedulers", "join storm", "out_bytes", "linear", "bytes")
JOIN_SETTLED = Line("schedulers", "join storm", "settled_ms", "sqrt", "ms")
RESTART_SETTLED = Line("schedulers", "one restarted", "settled_ms", "linear", "ms")
RESTART_BYTES = Line("schedulers", "one restarted", "out_bytes", "linear", "bytes")
ZONE_SETTLED = Line("schedulers", "zone lost", "settled_ms", "sqrt", "ms")
ZONE_BYTES = Line("schedulers", "zone lost", "out_bytes", "linear", "bytes")
ZONE_SECOND = Line("schedulers", "zone lost", "worst_second_out_bytes", "constant", "bytes")
SETTINGS_CHANGE_P50 = Line("schedulers", "changes", "in_force_p50_ms", "sqrt", "ms")
SETTINGS_CHANGE_WORST = Line("schedulers", "changes", "in_force_worst_ms", "sqrt", "ms")
SETTINGS_CHANGE_LOSS = Line("schedulers", "changes, loss 1%", "in_force_worst_ms", "sqrt", "ms")
SETTINGS_CHANGE_SECOND = Line("schedulers", "changes, loss 1%", "worst_second_out_bytes", "linear", "bytes")
SETTINGS_CHANGE_CPU = Line("schedulers", "changes", "cpu_share", "linear", "of a core")
STATE_LOSS_CURRENT = Line("schedulers", "one lost everything", "current_ms", "linear", "ms")
HEALED_SETTLED = Line("regions", "healed", "settled_ms", "sqrt", "ms")
HEALED_BYTES = Line("regions", "healed", "out_bytes", "linear", "bytes")
HEALED_DIFFERED = Line("regions", "healed", "differed_bytes", "linear", "bytes")
PARTITION_SECOND = Line("regions", "regions apart", "worst_second_out_bytes", "linear", "bytes")
HEALED_SECOND = Line("regions", "healed", "worst_second_out_bytes", "constant", "bytes")
PARTITION_BYTES = Line("regions", "regions apart", "out_bytes_per_s", "linear", "bytes/s")
WAVE_SECOND = Line("regions", "restart wave", "worst_second_out_bytes", "constant", "bytes")
WAVE_SETTLED = Line("regions", "restart wave", "settled_ms", "linear", "ms")
WAVE_OLDER = Line("regions", "restart wave", "rows_older", "linear")
HOLLOW_BYTES = Line("hollow", "rest", "out_bytes_per_s", "linear", "bytes/s")
HOLLOW_CPU = Line("hollow", "rest", "cpu_share", "linear", "of a core")
HOLLOW_CHANGE = Line("hollow", "one change", "last_ms", "linear", "ms")
DECISIONS = Line("parts", "decisions", "change_and_job_us", "linear", "us")
DECISIONS_ZONE = Line("parts", "decisions", "zone_at_once_us", "linear", "us")
DECISIONS_ZONE_PER_ROW = Line("parts", "decisions", "zone_one_by_one_us", "linear", "us")
LIST_TURN = Line("parts", "list indented", "first_turn_ms", "linear", "ms")
LIST_CPU = Line("parts", "list indented", "first_cpu_ms", "linear", "ms")
REPLACED_STILL_HELD = Line("parts", "replaced", "decisions", "linear")
OVER_QUOTA = Line("teams", "300 schedulers, uneven", "over_worst_share", "constant", "of its quota")
UNDER_QUOTA = Line("teams", "300 schedulers, uneven", "under_worst_share", "constant", "of its quota")
OVER_QUOTA_EVEN = Line("teams", "300 schedulers, even", "over_worst_share", "constant", "of its quota")
OVER_QUOTA_ROOM_FOR_ALL = Line(
    "teams", "300 schedulers, uneven, room for all", "over_worst_share", "constant", "of its quota"
)

SLOPES = (
    FIRST_JOB,
    LIST_COMPACT,
    LIST_INDENTED,
    START_CPU,
    MEMORY,
    JOB_CPU,
    LIST_CHANGE,
    ZONE_LOST_ONE_READ,
    ZONE_LOST_PER_ROW,
    REST_CPU,
    HELD_MEMORY,
    HELD_CPU,
    HELD_DESCRIPTORS,
    HELD_TIMERS,
    STARTS_CPU,
    START_DESCRIPTORS,
    URGENT_P50,
    URGENT_P99,
    URGENT_WORST,
    URGENT_LATE,
    GANG_WHOLE,
    GANG_LOST,
    RELOAD,
    RELOAD_IN_FORCE,
    RELOAD_FILE,
    VIEW_BYTES,
    VIEW_LOSS,
    VIEW_MESSAGES,
    VIEW_CPU,
    VIEW_MEMORY,
    JOIN_SECOND,
    JOIN_BYTES,
    JOIN_SETTLED,
    RESTART_SETTLED,
    RESTART_BYTES,
    ZONE_SETTLED,
    ZONE_BYTES,
    ZONE_SECOND,
    HEALED_SETTLED,
    HEALED_BYTES,
    HEALED_SECOND,
    PARTITION_BYTES,
    PARTITION_SECOND,
    WAVE_SECOND,
    WAVE_SETTLED,
    WAVE_OLDER,
    SETTINGS_CHANGE_P50,
    SETTINGS_CHANGE_WORST,
    SETTINGS_CHANGE_LOSS,
    SETTINGS_CHANGE_SECOND,
    SETTINGS_CHANGE_CPU,
    STATE_LOSS_CURRENT,
    HEALED_DIFFERED,
    HOLLOW_BYTES,
    HOLLOW_CPU,
    HOLLOW_CHANGE,
    DECISIONS,
    DECISIONS_ZONE,
    DECISIONS_ZONE_PER_ROW,
    LIST_TURN,
    LIST_CPU,
    REPLACED_STILL_HELD,
    OVER_QUOTA,
    UNDER_QUOTA,
    OVER_QUOTA_EVEN,
    OVER_QUOTA_ROOM_FOR_ALL,
)

# ---- the targets


@dataclass(frozen=True)
class Target:
    """One requirement and the figure that is compared with it. `budget` is None if there is none; with
    `at_least` the figure must be at least the budget instead of at most."""

    need: str
    what: str
    figure: Figure
    unit: str
    budget: float | None
    mechanism: str
    source: str
    at_least: bool = False


MISSING = "`missing`"
SETTINGS_MECHANISM = "`replication`, `tuning.rows`, `peers`"
VIEW_MECHANISM = "`membership`, `replication`, `peers`"
UNMEASURED: Figure = lambda runs: None  # noqa: E731 - a figure without a measurement

TARGETS = (
    Target(
        "4,600 planners",
        "a compact list is taken (1) or not (0)",
        TAKEN_COMPACT.at(PLANNERS),
        "",
        1.0,
        "`routes.discovery`",
        "planners",
        at_least=True,
    ),
    Target(
        "4,600 planners",
        "an indented list is taken (1) or not (0)",
        TAKEN_INDENTED.at(PLANNERS),
        "",
        1.0,
        "`routes.discovery`",
        "planners",
        at_least=True,
    ),
    Target(
        "4,600 planners",
        "start to first job",
        FIRST_JOB.at(PLANNERS),
        "ms",
        None,
        "`routes.discovery`, `exchange.route_table`",
        "planners",
    ),
    Target(
        "4,600 planners",
        "memory of the whole scheduler, against that for control alone",
        MEMORY.at(PLANNERS),
        "MB",
        MEMORY_BUDGET_MB,
        "`exchange.route_table`, `decisions.rules`",
        "planners",
    ),
    Target(
        "4,600 planners",
        "a change and its job in the decisions, in times of what it costs at 200",
        ratio(DECISIONS.at(PLANNERS), DECISIONS.at(200)),
        "times",
        2.0,
        "`decisions.rules`",
        "parts",
    ),
    Target(
        "4,600 planners",
        "the same in the whole program",
        ratio(LIST_CHANGE.at(PLANNERS), LIST_CHANGE.at(200)),
        "times",
        2.0,
        "`decisions.rules`, `exchange.route_table`",
        "planners",
    ),
    Target(
        "433 planners replaced a day",
        "planners that the decisions still hold of them, against those of the last minute",
        REPLACED_STILL_HELD.at(433),
        "",
        1.0,
        "`decisions.rules`",
        "parts",
    ),
    Target(
        "a zone lost",
        "657 rows in a read each, a job behind each, against 3.2% of a core for a minute",
        times(ZONE_LOST_PER_ROW.at(PLANNERS), ZONE_PLANNERS / 1000),
        "ms",
        CPU_BUDGET_CORES * 60_000,
        "`decisions.rules`",
        "planners",
    ),
    Target(
        "a zone lost",
        "657 rows in one read",
        ZONE_LOST_ONE_READ.at(PLANNERS),
        "ms",
        CPU_BUDGET_CORES * 60_000,
        "`routes.discovery`, `decisions.rules`",
        "planners",
    ),
    Target(
        "280 starts a second",
        "CPU of the mean scheduler's starts",
        STARTS_CPU.at(STARTS_PER_SCHEDULER),
        "of a core",
        1.0,
        "`exchange.core`, `egress.http`",
        "starts",
    ),
    Target(
        "280 starts a second",
        "CPU of the heaviest scheduler's",
        STARTS_CPU.at(HEAVIEST_FACTOR * STARTS_PER_SCHEDULER),
        "of a core",
        1.0,
        "`exchange.core`, `egress.http`",
        "starts",
    ),
    Target(
        "280 starts a second",
        "CPU if one scheduler had all of them",
        STARTS_CPU.at(STARTS_PER_S),
        "of a core",
        1.0,
        "`exchange.core`, `egress.http`",
        "starts",
    ),
    Target(
        "29,000 tasks running",
        "memory that the heaviest scheduler's add",
        HELD_MEMORY.at(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        "MB",
        MEMORY_BUDGET_MB,
        "`exchange.core`",
        "held",
    ),
    Target(
        "29,000 tasks running",
        "CPU of the heaviest scheduler's",
        HELD_CPU.at(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        "of a core",
        1.0,
        "`exchange.core`",
        "held",
    ),
    Target(
        "29,000 tasks running",
        "descriptors of the heaviest scheduler",
        HELD_DESCRIPTORS.at(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        "",
        SOCKET_LIMIT,
        "`scheduler`, `egress.http`",
        "held",
    ),
    Target(
        "gangs of up to 128",
        "gangs of 128 that start whole, nine tenths of the slots taken",
        GANG_WHOLE.at(GANG_MEMBERS),
        "of all",
        1.0,
        MISSING,
        "gangs",
        at_least=True,
    ),
    Target(
        "380 teams with quotas",
        "above its quota, the worst team; uneven, 300 schedulers",
        OVER_QUOTA.at(TEAMS),
        "of its quota",
        None,
        MISSING,
        "teams",
    ),
    Target(
        "380 teams with quotas",
        "the same where planners have room for all",
        OVER_QUOTA_ROOM_FOR_ALL.at(TEAMS),
        "of its quota",
        None,
        MISSING,
        "teams",
    ),
    Target(
        "380 teams with quotas",
        "under its quota, the worst team; uneven, 300 schedulers",
        UNDER_QUOTA.at(TEAMS),
        "of its quota",
        None,
        MISSING,
        "teams",
    ),
    Target(
        "urgent work in 2.7 s",
        "p99 beside a full fleet, 920 planners",
        URGENT_P99.at(920),
        "ms",
        URGENT_BUDGET_MS,
        MISSING,
        "urgent",
    ),
    Target(
        "urgent work in 2.7 s",
        "worst beside a full fleet, 920 planners",
        URGENT_WORST.at(920),
        "ms",
        URGENT_BUDGET_MS,
        MISSING,
        "urgent",
    ),
    Target(
        "7,800 changes a day",
        "CPU of as many reloads with 380 teams, over the day",
        times(RELOAD.at(TEAMS), CHANGES_PER_DAY / DAY_S / 1000),
        "of a core",
        CPU_BUDGET_CORES,
        "`scheduler`, `tuning`",
        "reload",
    ),
    Target(
        "in force everywhere in 5 s",
        "a file read again by one scheduler",
        RELOAD_IN_FORCE.at(TEAMS),
        "ms",
        IN_FORCE_BUDGET_MS,
        "`scheduler`",
        "reload",
    ),
    Target(
        "in force everywhere in 5 s",
        "a change, p50 of all at 300 schedulers, 20 changes in a second",
        SETTINGS_CHANGE_P50.at(SCHEDULERS),
        "ms",
        1000.0,
        SETTINGS_MECHANISM,
        "schedulers",
    ),
    Target(
        "in force everywhere in 5 s",
        "the worst of them",
        SETTINGS_CHANGE_WORST.at(SCHEDULERS),
        "ms",
        IN_FORCE_BUDGET_MS,
        SETTINGS_MECHANISM,
        "schedulers",
    ),
    Target(
        "in force everywhere in 5 s",
        "the worst of them at 1% loss",
        SETTINGS_CHANGE_LOSS.at(SCHEDULERS),
        "ms",
        IN_FORCE_BUDGET_MS,
        SETTINGS_MECHANISM,
        "schedulers",
    ),
    Target(
        "in force everywhere in 5 s",
        "one change put by command, on sockets, to the last",
        HOLLOW_CHANGE.at(SCHEDULERS),
        "ms",
        IN_FORCE_BUDGET_MS,
        SETTINGS_MECHANISM,
        "hollow",
    ),
    Target(
        "in force everywhere in 5 s",
        "one that lost everything is current",
        STATE_LOSS_CURRENT.at(SCHEDULERS),
        "ms",
        IN_FORCE_BUDGET_MS,
        SETTINGS_MECHANISM,
        "schedulers",
    ),
    Target(
        "in force everywhere in 5 s",
        "schedulers that act on older rows after restarts in waves",
        WAVE_OLDER.at(SCHEDULERS),
        "",
        0.0,
        SETTINGS_MECHANISM,
        "regions",
    ),
    Target(
        "control: 9 KB a second",
        "view and settings at rest, 300 schedulers",
        VIEW_BYTES.at(SCHEDULERS),
        "bytes/s",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 9 KB a second",
        "the scheduler that sends most, at rest",
        VIEW_HEAVIEST.at(SCHEDULERS),
        "bytes/s",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 9 KB a second",
        "view and settings at 1% loss",
        VIEW_LOSS.at(SCHEDULERS),
        "bytes/s",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 9 KB a second",
        "the worst second of a join storm",
        JOIN_SECOND.at(SCHEDULERS),
        "bytes",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 9 KB a second",
        "the worst second of a lost zone",
        ZONE_SECOND.at(SCHEDULERS),
        "bytes",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 9 KB a second",
        "the worst second while regions are apart",
        PARTITION_SECOND.at(SCHEDULERS),
        "bytes",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "regions",
    ),
    Target(
        "control: 9 KB a second",
        "the worst second after a region is back",
        HEALED_SECOND.at(SCHEDULERS),
        "bytes",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "regions",
    ),
    Target(
        "control: 9 KB a second",
        "the worst second of a restart in waves",
        WAVE_SECOND.at(SCHEDULERS),
        "bytes",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "regions",
    ),
    Target(
        "control: 9 KB a second",
        "the worst second of changes in bursts, 1% loss",
        SETTINGS_CHANGE_SECOND.at(SCHEDULERS),
        "bytes",
        NETWORK_BUDGET_BYTES_PER_S,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "aim of issue 33: 2,000 bytes/s",
        "view and settings at rest, 300 schedulers",
        VIEW_BYTES.at(SCHEDULERS),
        "bytes/s",
        2000.0,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "aim of issue 33: 2,000 bytes/s",
        "view and settings at rest, 600 schedulers",
        VIEW_BYTES.at(600),
        "bytes/s",
        2000.0,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "aim of issue 33: 0.5% of a core",
        "view and settings at rest, 300 schedulers",
        VIEW_CPU.at(SCHEDULERS),
        "of a core",
        0.005,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 3.2% of a core",
        "view and settings at rest",
        VIEW_CPU.at(SCHEDULERS),
        "of a core",
        CPU_BUDGET_CORES,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "control: 3.2% of a core",
        "the same with its sockets",
        HOLLOW_CPU.at(SCHEDULERS),
        "of a core",
        CPU_BUDGET_CORES,
        VIEW_MECHANISM,
        "hollow",
    ),
    Target(
        "control: 256 MB",
        "view and settings",
        VIEW_MEMORY.at(SCHEDULERS),
        "MB",
        MEMORY_BUDGET_MB,
        VIEW_MECHANISM,
        "schedulers",
    ),
    Target(
        "12 machines for control",
        "machines that anything runs on",
        constant(0),
        "",
        float(CONTROL_MACHINES),
        "none is needed so far",
        "",
    ),
)

# ---- the roles


@dataclass(frozen=True)
class RoleLine:
    """One line of a role's table: quantity, formula, and the figures of a usual and of the worst day."""

    what: str
    formula: str
    usual: Figure
    worst: Figure
    unit: str
    budget: str
    source: str


DATA_PATH = (
    RoleLine("planners known", "the list", constant(PLANNERS), constant(PLANNERS), "", "4,600", ""),
    RoleLine(
        "tasks held",
        "tasks / schedulers; the heaviest 4 times that",
        constant(TASKS_PER_SCHEDULER),
        constant(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        "",
        "none given",
        "",
    ),
    RoleLine(
        "timers",
        "tasks held x timers each",
        times(HELD_TIMERS.at(800), TASKS_PER_SCHEDULER),
        times(HELD_TIMERS.at(800), HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        "",
        "none given",
        "held",
    ),
    RoleLine(
        "starts",
        "starts / schedulers; the heaviest 4 times that",
        constant(STARTS_PER_SCHEDULER),
        constant(HEAVIEST_FACTOR * STARTS_PER_SCHEDULER),
        "/s",
        "none given",
        "",
    ),
    RoleLine(
        "notes from planners",
        "tasks held / 2 s",
        constant(TASKS_PER_SCHEDULER * 1000 / PROGRESS_MS),
        constant(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER * 1000 / PROGRESS_MS),
        "/s",
        "none given",
        "",
    ),
    RoleLine(
        "changes of the list",
        "3 a replaced planner (drains, goes, comes); worst: a zone at once",
        constant(3 * (REPLACED_PER_DAY + FAILED_PER_DAY) / DAY_S),
        constant(ZONE_PLANNERS),
        "/s",
        "none given",
        "",
    ),
    RoleLine(
        "CPU of starts and of what is held",
        "by both slopes",
        plus(STARTS_CPU.at(STARTS_PER_SCHEDULER), HELD_CPU.at(TASKS_PER_SCHEDULER)),
        plus(
            STARTS_CPU.at(HEAVIEST_FACTOR * STARTS_PER_SCHEDULER),
            HELD_CPU.at(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        ),
        "of a core",
        "1",
        "starts, held",
    ),
    RoleLine(
        "CPU of changes",
        "a day's changes x that of one; worst: a zone in a read each",
        times(LIST_CHANGE.at(PLANNERS), 3 * (REPLACED_PER_DAY + FAILED_PER_DAY) / 1000),
        times(ZONE_LOST_PER_ROW.at(PLANNERS), ZONE_PLANNERS / 1000),
        "ms",
        "none given",
        "planners",
    ),
    RoleLine(
        "memory",
        "the list, and what is held",
        plus(MEMORY.at(PLANNERS), HELD_MEMORY.at(TASKS_PER_SCHEDULER)),
        plus(MEMORY.at(PLANNERS), HELD_MEMORY.at(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER)),
        "MB",
        "192 (`limits.memory_mb`)",
        "planners, held",
    ),
    RoleLine(
        "connections (descriptors)",
        "2 a task held, and what rests",
        HELD_DESCRIPTORS.at(TASKS_PER_SCHEDULER),
        HELD_DESCRIPTORS.at(HEAVIEST_FACTOR * TASKS_PER_SCHEDULER),
        "",
        "1,024 (`limits.sockets`)",
        "held",
    ),
)
CONTROL = (
    RoleLine(
        "schedulers known", "the view", constant(SCHEDULERS), constant(SCHEDULERS), "", "none given", ""
    ),
    RoleLine("rows of settings", "one a team", constant(TEAMS), constant(TEAMS), "", "none given", ""),
    RoleLine(
        "bytes sent",
        "view and settings; worst: the worst second of a join storm",
        VIEW_BYTES.at(SCHEDULERS),
        JOIN_SECOND.at(SCHEDULERS),
        "bytes/s",
        "9,000",
        "schedulers",
    ),
    RoleLine(
        "bytes sent by the heaviest",
        "the same; worst: the worst second of changes in bursts, 1% loss",
        VIEW_HEAVIEST.at(SCHEDULERS),
        SETTINGS_CHANGE_SECOND.at(SCHEDULERS),
        "bytes/s",
        "9,000",
        "schedulers",
    ),
    RoleLine(
        "messages sent",
        "probes, answers, repair; worst: a join storm",
        VIEW_MESSAGES.at(SCHEDULERS),
        Line("schedulers", "join storm", "messages_per_s", "linear").at(SCHEDULERS),
        "/s",
        "none given",
        "schedulers",
    ),
    RoleLine(
        "CPU",
        "protocol and codec, without sockets; worst: a join storm",
        VIEW_CPU.at(SCHEDULERS),
        Line("schedulers", "join storm", "cpu_share", "linear").at(SCHEDULERS),
        "of a core",
        "0.032",
        "schedulers",
    ),
    RoleLine(
        "CPU while changes come",
        "20 in a second, now and then",
        SETTINGS_CHANGE_CPU.at(SCHEDULERS),
        UNMEASURED,
        "of a core",
        "0.032",
        "schedulers",
    ),
    RoleLine(
        "memory", "view and settings alone", VIEW_MEMORY.at(SCHEDULERS), UNMEASURED, "MB", "256", "schedulers"
    ),
    RoleLine(
        "CPU of a file read again",
        "reloads of a day, where settings come by file; worst: 20 in a second",
        times(RELOAD.at(TEAMS), CHANGES_PER_DAY / DAY_S / 1000),
        times(RELOAD.at(TEAMS), 20 / 1000),
        "of a core",
        "0.032",
        "reload",
    ),
    RoleLine(
        "bytes of that file",
        "the whole of it for each change, to each scheduler",
        times(RELOAD_FILE.at(TEAMS), CHANGES_PER_DAY / DAY_S),
        times(RELOAD_FILE.at(TEAMS), 20),
        "bytes/s",
        "9,000",
        "reload",
    ),
)
DISCOVERY = (
    RoleLine(
        "watches held", "one a scheduler", constant(SCHEDULERS), constant(SCHEDULERS), "", "none given", ""
    ),
    RoleLine(
        "whole lists told",
        "one a start of a scheduler; worst: all restarted",
        LISTS_ASKED.at(PLANNERS),
        times(LISTS_ASKED.at(PLANNERS), SCHEDULERS),
        "",
        "none given",
        "planners",
    ),
    RoleLine(
        "bytes of them",
        "compact",
        LIST_COMPACT.at(PLANNERS),
        times(LIST_COMPACT.at(PLANNERS), SCHEDULERS),
        "bytes",
        "none given",
        "planners",
    ),
    RoleLine(
        "seconds of 9 KB/s that one takes",
        "bytes / 9,000, compact; worst: indented",
        times(LIST_COMPACT.at(PLANNERS), 1 / NETWORK_BUDGET_BYTES_PER_S),
        times(LIST_INDENTED.at(PLANNERS), 1 / NETWORK_BUDGET_BYTES_PER_S),
        "s",
        "none given",
        "planners",
    ),
    RoleLine(
        "heartbeats",
        "one a watch each 2 s",
        constant(SCHEDULERS / 2),
        constant(SCHEDULERS / 2),
        "/s",
        "none given",
        "",
    ),
)

# ---- the failures


@dataclass(frozen=True)
class Failure:
    """One failure that the requirements list. `tests` are FILE::NAME of existing tests."""

    what: str
    frequency: str
    cost: str
    figure: Figure
    unit: str
    settled: Figure  # ms
    tests: tuple[str, ...]


ZONE_TESTS = (
    "tests/proxy/test_endpoint_updates.py::test_a_lost_zone_in_one_read_is_one_change_to_the_decisions",
    "tests/scheduling/test_decisions_scale.py::test_a_change_accesses_at_most_twice_the_rows_with_4600_workers",
)
FAILURES = (
    Failure(
        "a planner's machine",
        "23 a day",
        "CPU of one change in each scheduler",
        LIST_CHANGE.at(PLANNERS),
        "us",
        constant(STALLED_PROGRESS_INTERVALS * PROGRESS_MS),
        (
            "tests/scheduling/test_dispatcher_rules.py::test_a_started_job_whose_worker_stops_reporting_is_retried",
        ),
    ),
    Failure(
        "a scheduler's machine",
        "of the same 23",
        "bytes sent by each of the others until nothing is left to tell",
        RESTART_BYTES.at(SCHEDULERS),
        "bytes",
        RESTART_SETTLED.at(SCHEDULERS),
        ("tests/membership/test_membership.py::test_a_death_is_found_and_held_by_all",),
    ),
    Failure(
        "a planner restarted or replaced",
        "410 a day",
        "CPU of three changes in each scheduler",
        times(LIST_CHANGE.at(PLANNERS), 3),
        "us",
        UNMEASURED,
        (
            "tests/scheduling/test_slow_start.py::test_workers_in_slow_start_get_no_more_than_their_limit_plus_chance",
        ),
    ),
    Failure(
        "a rack or switch (40 planners, assumed)",
        "weekly",
        "CPU of 40 changes in each scheduler",
        times(ZONE_LOST_PER_ROW.at(PLANNERS), RACK_PLANNERS / 1000),
        "ms",
        UNMEASURED,
        ZONE_TESTS[1:],
    ),
    Failure(
        "a zone, its planners",
        "every other month",
        "CPU in each scheduler, a read for each row",
        times(ZONE_LOST_PER_ROW.at(PLANNERS), ZONE_PLANNERS / 1000),
        "ms",
        UNMEASURED,
        ZONE_TESTS,
    ),
    Failure(
        "a zone, its schedulers",
        "every other month",
        "bytes sent by each of the others",
        ZONE_BYTES.at(SCHEDULERS),
        "bytes",
        ZONE_SETTLED.at(SCHEDULERS),
        ("tests/membership/test_membership.py::test_half_the_fleet_killed_at_once",),
    ),
    Failure(
        "regions cut off for an hour",
        "now and then",
        "bytes sent by each once they meet",
        HEALED_BYTES.at(SCHEDULERS),
        "bytes",
        HEALED_SETTLED.at(SCHEDULERS),
        (
            "tests/membership/test_membership.py::"
            "test_two_halves_apart_for_a_minute_with_joins_and_deaths_settle_once_whole",
            "tests/replication/test_replication.py::test_sides_that_were_apart_hold_the_same_rows_soon_after_they_meet",
            "tests/cluster/test_fleet_rig.py::test_partition_with_a_join_and_deaths_heals",
        ),
    ),
    Failure(
        "all restarted at once",
        "a restart wave",
        "bytes sent by each",
        JOIN_BYTES.at(SCHEDULERS),
        "bytes",
        JOIN_SETTLED.at(SCHEDULERS),
        ("tests/cluster/test_fleet_rig.py::test_half_the_fleet_is_killed_and_restarted_without_disks",),
    ),
    Failure(
        "all restarted, a tenth at a time",
        "a restart wave",
        "bytes sent by each in the worst second",
        WAVE_SECOND.at(SCHEDULERS),
        "bytes",
        WAVE_SETTLED.at(SCHEDULERS),
        ("tests/cluster/test_fleet_rig.py::test_rolling_restart",),
    ),
    Failure(
        "all restarted, their lists",
        "a restart wave",
        "whole lists told by discovery",
        times(LISTS_ASKED.at(PLANNERS), SCHEDULERS),
        "lists",
        UNMEASURED,
        ("tests/test_fleet_lists.py::test_a_few_siblings_all_know_the_list_6_s_after_discovery_is_back",),
    ),
)
