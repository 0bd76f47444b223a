"""Tests the site files of the bench and `make sites`, which copies files of the bench's kit beside them."""

import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
NEEDED = ("real.json", "wire.json", "unlock.txt")


def make_kit(folder, names=NEEDED):
    (folder / "sites").mkdir(parents=True)
    for name in names:
        (folder / "sites" / name).write_text(f"stand-in {name}\n")
        (folder / "sites" / name).chmod(0o444)
    return folder


def make_sites(kit, target):
    target.mkdir(exist_ok=True)
    command = ["make", "-C", ROOT, "--no-print-directory", "sites", f"KIT={kit}", f"SITES_DIR={target}"]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def test_files_are_copied_and_copied_again_over_read_only_ones(tmp_path):
    kit, target = make_kit(tmp_path / "kit"), tmp_path / "target"
    for _ in range(2):  # the second run replaces read-only files
        result = make_sites(kit, target)
        assert result.returncode == 0, result.stderr
    assert {path.name: path.read_text() for path in target.iterdir()} == {
        name: f"stand-in {name}\n" for name in NEEDED
    }


@pytest.mark.parametrize("missing", NEEDED)
def test_a_missing_file_is_reported_and_nothing_is_copied(tmp_path, missing):
    kit = make_kit(tmp_path / "kit", [name for name in NEEDED if name != missing])
    result = make_sites(kit, tmp_path / "target")
    assert result.returncode != 0 and missing in result.stderr
    assert not any(name in result.stderr for name in NEEDED if name != missing)
    assert list((tmp_path / "target").iterdir()) == []


def test_a_missing_kit_is_reported_with_its_path(tmp_path):
    result = make_sites(tmp_path / "nowhere", tmp_path / "target")
    assert result.returncode != 0 and f"{tmp_path}/nowhere" in result.stderr and "KIT=" in result.stderr


def test_git_ignores_the_files_of_the_kit():
    ignored = (ROOT / ".gitignore").read_text().split()
    assert {f"deploy/sites/{name}" for name in NEEDED} <= set(ignored)


def test_sites_are_named_like_their_files_and_have_the_method_mix_they_exist_for():
    sites = {path.stem: tomllib.loads(path.read_text()) for path in SITES}
    assert all(site["name"] == name and site["wire"] == "wire.json" for name, site in sites.items())
    tidewater, highland = (sites[name]["class"] for name in ("tidewater-freight", "highland-clinics"))
    assert not [method for method in tidewater if method["effect"] == "safe"]
    assert [
        method["name"] for method in tidewater if method["effect"] == "keyed" and method["group"] == "cell"
    ] == ["hold-move"]
    deadlines_ms = [method["deadline_ms"] for method in highland]
    assert min(deadlines_ms) <= 400 and max(deadlines_ms) >= 12_000
