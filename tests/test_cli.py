"""The commands, as a user calls them."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from loopback import FRONT, SETTINGS

from pipitshed import __version__
from pipitshed.cli import main


def call(folder: Path, *words: str, config: object = None, front: str = "") -> Result:
    (folder / "config.json").write_text(json.dumps(config or {
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "settings": SETTINGS}))
    (folder / "front.toml").write_text(front)
    asked = ["--front", str(folder / "front.toml")] if words != ("version",) else []
    return CliRunner().invoke(main, [*words, *asked], env={"LB_CONFIG": str(folder / "config.json")})


def test_version_and_check(tmp_path: Path) -> None:
    assert call(tmp_path, "version").output == f"{__version__}\n"
    assert "Gearman off" in call(tmp_path, "check").output
    assert "Gearman 127.0.0.1:0" in call(tmp_path, "check", front=FRONT).output


@pytest.mark.parametrize(("config", "front", "what"), [
    ({"name": "n0"}, "", "settings"),
    ({"listen": "here", "settings": SETTINGS}, "", "host:port"),
    ({"listen": "127.0.0.1:0", "seed": "xyz", "settings": SETTINGS}, "", "xyz"),
    ({"listen": "127.0.0.1:0", "settings": {"services": []}}, "", "services"),
    (None, "gearman = 3", "gearman"),
    (None, FRONT.replace('"book"', '"parcel"'), "parcel"),
    (None, '[gearman]\nlisten = ["127.0.0.1:0"]', "functions"),
    (None, "[gearman", "front.toml"),
])
def test_what_cannot_be_used_ends_in_one_line(tmp_path: Path, config: object, front: str, what: str) -> None:
    for command in ("serve", "check"):
        result = call(tmp_path, command, config=config, front=front)
        assert result.exit_code == 2 and what in result.output and result.output.count("\n") == 1
