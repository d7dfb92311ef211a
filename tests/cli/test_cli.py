"""Tests of the commands `version`, `check` and `serve` with valid and invalid files."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from loopback import FRONT, ROOT, SETTINGS

from pipitshed import __version__
from pipitshed.cli.commands import main


def call(folder: Path, *arguments: str, config: object = None, front: str = "") -> Result:
    (folder / "config.json").write_text(
        json.dumps(config or {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "settings": SETTINGS})
    )
    (folder / "front.toml").write_text(front)
    options = ["--front", str(folder / "front.toml")] if arguments != ("version",) else []
    return CliRunner().invoke(main, [*arguments, *options], env={"LB_CONFIG": str(folder / "config.json")})


def test_version_and_check(tmp_path: Path) -> None:
    assert call(tmp_path, "version").output == f"{__version__}\n"
    assert "Gearman off" in call(tmp_path, "check").output
    assert "Gearman 127.0.0.1:0" in call(tmp_path, "check", front=FRONT).output


@pytest.mark.parametrize(
    ("config", "front", "expected_text"),
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
def test_an_invalid_file_gives_one_line_and_exit_code_2(
    tmp_path: Path, config: object, front: str, expected_text: str
) -> None:
    for command in ("serve", "check"):
        result = call(tmp_path, command, config=config, front=front)
        assert result.exit_code == 2 and expected_text in result.output and result.output.count("\n") == 1


def test_no_front_file_is_read_without_the_option(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reading a front file from a default path: written for other classes, it prevented the
    start in a second deployment; a matching one would have opened a Gearman socket without being enabled."""
    settings = SETTINGS | {
        "services": [{"name": "render", "deadline": 6000.0, "goalTime": 250.0}],
        "tenants": [],
        "areas": ["aswan"],
        "shapes": [],
    }
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": settings}))
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "front.toml").write_text(FRONT)
    monkeypatch.chdir(tmp_path)
    result = CliRunner().invoke(main, ["check"], env={"LB_CONFIG": str(tmp_path / "config.json")})
    assert result.exit_code == 0 and "classes render" in result.output and "Gearman off" in result.output


def test_a_missing_front_file_gives_one_line_and_exit_code_2(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
    result = CliRunner().invoke(
        main,
        ["serve", "--front", str(tmp_path / "none.toml")],
        env={"LB_CONFIG": str(tmp_path / "config.json")},
    )
    assert result.exit_code == 2 and "none.toml" in result.output and result.output.count("\n") == 1


def test_the_shipped_front_file_matches_any_deployment(tmp_path: Path) -> None:
    settings = SETTINGS | {
        "services": [{"name": "render", "deadline": 6000.0, "goalTime": 250.0}],
        "tenants": [],
        "areas": ["aswan"],
        "shapes": [],
    }
    shipped_front_file = (ROOT / "deploy" / "front.toml").read_text()
    config = {"listen": "127.0.0.1:0", "settings": settings}
    assert call(tmp_path, "check", config=config, front=shipped_front_file).exit_code == 0
