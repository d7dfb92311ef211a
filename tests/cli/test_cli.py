"""The commands, as a user calls them."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from loopback import FRONT, ROOT, SETTINGS

from pipitshed import __version__
from pipitshed.cli.commands import main


def call(folder: Path, *words: str, config: object = None, front: str = "") -> Result:
    (folder / "config.json").write_text(
        json.dumps(config or {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "settings": SETTINGS})
    )
    (folder / "front.toml").write_text(front)
    asked = ["--front", str(folder / "front.toml")] if words != ("version",) else []
    return CliRunner().invoke(main, [*words, *asked], env={"LB_CONFIG": str(folder / "config.json")})


def test_version_and_check(tmp_path: Path) -> None:
    assert call(tmp_path, "version").output == f"{__version__}\n"
    assert "Gearman off" in call(tmp_path, "check").output
    assert "Gearman 127.0.0.1:0" in call(tmp_path, "check", front=FRONT).output


@pytest.mark.parametrize(
    ("config", "front", "what"),
    [
        ({"name": "n0"}, "", "settings"),
        ({"listen": "here", "settings": SETTINGS}, "", "host:port"),
        ({"listen": "127.0.0.1:0", "seed": "xyz", "settings": SETTINGS}, "", "xyz"),
        ({"listen": "127.0.0.1:0", "settings": {"services": []}}, "", "services"),
        (None, "gearman = 3", "gearman"),
        (None, FRONT.replace('"book"', '"parcel"'), "front.toml:6: gearman.functions.book_pallet.class"),
        (
            None,
            FRONT.replace('"andes-retail"', '"nobody"', 1),
            "front.toml:5: gearman.functions.plan_quote.ten",
        ),
        (None, FRONT.replace('"lima-norte"', '"cusco"'), "front.toml:8: gearman.workers.zone: the sett"),
        (None, FRONT + 'kind = "huge"', "front.toml:9: gearman.workers.kind"),
        (None, '[gearman]\nlisten = ["127.0.0.1:0"]', "functions"),
        (None, "[gearman", "front.toml"),
    ],
)
def test_what_cannot_be_used_ends_in_one_line(tmp_path: Path, config: object, front: str, what: str) -> None:
    for command in ("serve", "check"):
        result = call(tmp_path, command, config=config, front=front)
        assert result.exit_code == 2 and what in result.output and result.output.count("\n") == 1


def test_no_front_file_is_read_that_nobody_asked_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The failure met: a front file at a default place, written for other names, kept the program from its
    start in a second deployment; one that fits would have opened a socket that nobody asked for."""
    others = SETTINGS | {
        "services": [{"name": "render", "deadline": 6000.0, "goalTime": 250.0}],
        "tenants": [],
        "areas": ["aswan"],
        "shapes": [],
    }
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": others}))
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "front.toml").write_text(FRONT)
    monkeypatch.chdir(tmp_path)
    asked = CliRunner().invoke(main, ["check"], env={"LB_CONFIG": str(tmp_path / "config.json")})
    assert asked.exit_code == 0 and "classes render" in asked.output and "Gearman off" in asked.output


def test_a_front_file_that_is_not_there_ends_in_one_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
    result = CliRunner().invoke(
        main,
        ["serve", "--front", str(tmp_path / "none.toml")],
        env={"LB_CONFIG": str(tmp_path / "config.json")},
    )
    assert result.exit_code == 2 and "none.toml" in result.output and result.output.count("\n") == 1


def test_the_shipped_front_file_fits_any_deployment(tmp_path: Path) -> None:
    others = SETTINGS | {
        "services": [{"name": "render", "deadline": 6000.0, "goalTime": 250.0}],
        "tenants": [],
        "areas": ["aswan"],
        "shapes": [],
    }
    shipped = (ROOT / "deploy" / "front.toml").read_text()
    config = {"listen": "127.0.0.1:0", "settings": others}
    assert call(tmp_path, "check", config=config, front=shipped).exit_code == 0
