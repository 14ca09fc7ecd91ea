"""Play a day of the users' bench with hosts of two builds, in a scratch clone.

The clone has the package of the old commit beside that of the new one; a launcher
picks one by the host's name. Its journal entries are trials and are copied back.
"""

import argparse
import os
import shlex
import shutil
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
DEPLOY_FILE = "deploy/system.toml"
OLD_FOLDER = "old_build"
RUN_LINE = 'run = "python3 -S -m lovagepier.entry"'
BENCH_VARIABLE = "FLEETBENCH"
CLONE_VARIABLE = "MIXED_DAY_FOLDER"

# The old build runs where `{condition}` is true of a host's name and first start.
LAUNCHER = '''"""Runs the build that this host is to have."""

import runpy
import sys
import zlib

name, first_start = sys.argv[1:3]
if {condition}:
    sys.path.insert(0, "{folder}")
del sys.argv[1:]
runpy.run_module("lovagepier.entry", run_name="__main__", alter_sys=True)
'''
# Names end in the host's number in its zone; the zone decides which one is odd, so that
# zones with an odd number of hosts don't all begin alike.
_IS_ODD = "(int(name.rpartition('-')[2]) + zlib.crc32(name.encode()[:-2])) % 2 == 1"
CONDITIONS = {
    "odd": _IS_ODD,
    "even": f"not ({_IS_ODD})",
    # Every host is replaced by the new build where it ends and starts again.
    "first": "first_start == 'true'",
    # The same the other way round, as an upgrade that is undone.
    "later": "first_start != 'true'",
    "all": "True",
    "none": "False",
}


def _git(*args, cwd=ROOT):
    return subprocess.run(
        ["git", *args], cwd=cwd, check=True, capture_output=True
    ).stdout


def _make_clone(folder, new, old, which):
    """Make a clone at commit `new` whose hosts partly run commit `old`."""
    _git("clone", "--quiet", "--no-hardlinks", str(ROOT), str(folder))
    _git("checkout", "--quiet", "--detach", new, cwd=folder)
    archive = _git("archive", "--prefix", f"{OLD_FOLDER}/", old, "lovagepier")
    with tarfile.open(fileobj=BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    launcher = LAUNCHER.format(condition=CONDITIONS[which], folder=OLD_FOLDER)
    (folder / "mixed_launch.py").write_text(launcher)
    deploy = folder / DEPLOY_FILE
    text = deploy.read_text()
    if RUN_LINE not in text:
        raise SystemExit(f"{DEPLOY_FILE} of {new} has no {RUN_LINE}")
    words = "mixed_launch {{node_name}} {{first_start}}"
    deploy.write_text(text.replace(RUN_LINE, f'run = "python3 -S -m {words}"'))
    target = ROOT / "target"
    if target.is_dir():
        shutil.copytree(target, folder / "target", symlinks=True)
        # Newer than the list of what it holds, or it is built again.
        os.utime(folder / "target" / "deps")
    _git("add", "--all", cwd=folder)
    _git(
        "-c",
        "user.name=trial",
        "-c",
        "user.email=trial@localhost",
        "commit",
        "--quiet",
        "--message",
        f"Trial: hosts of {old} ({which}) beside {new}",
        cwd=folder,
    )


def _copy_journal(folder, known):
    """Copy the journal's new entries back; return their names."""
    names = []
    for path in sorted((folder / "journal").rglob("*")):
        relative = path.relative_to(folder)
        if path.is_file() and relative not in known:
            target = ROOT / relative
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, target)
            names.append(str(relative))
    return names


def main(argv=None):
    """Play the day; return the bench's exit code."""
    parser = argparse.ArgumentParser(prog="scripts/mixed-day", description=__doc__)
    parser.add_argument("old", help="commit of the old build")
    parser.add_argument("site", help="path of a site file")
    parser.add_argument("day", help="name of a day, or path of a day file")
    parser.add_argument("--new", default="HEAD", help="commit of the new build")
    parser.add_argument("--old", dest="which", choices=CONDITIONS, default="odd")
    parser.add_argument("--seed")
    parser.add_argument("--log", help="hosts whose output is shown, or all")
    parser.add_argument("--vary", action="store_true")
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument(
        "--bench", default=os.environ.get(BENCH_VARIABLE), help="the bench's program"
    )
    parser.add_argument(
        "--folder",
        default=os.environ.get(CLONE_VARIABLE),
        help="where the clone is made, outside /tmp; removed if it is there",
    )
    args = parser.parse_args(argv)
    if not args.bench or not args.folder:
        parser.error(f"set --bench and --folder, or {BENCH_VARIABLE}, {CLONE_VARIABLE}")
    folder = Path(args.folder).resolve()
    new = _git("rev-parse", "--short", args.new).decode().strip()
    old = _git("rev-parse", "--short", args.old).decode().strip()
    if folder.exists():
        if not (folder / "mixed_launch.py").exists():
            parser.error(f"{folder} is not a clone of this script")
        shutil.rmtree(folder)
    _make_clone(folder, new, old, args.which)
    known = {path.relative_to(folder) for path in (folder / "journal").rglob("*")}
    day = args.day
    if Path(day).is_file():
        day = str(Path(day).resolve())
    command = [*shlex.split(args.bench), "run", str(Path(args.site).resolve()), day]
    for option in ("seed", "log"):
        if getattr(args, option):
            command += [f"--{option}", getattr(args, option)]
    command += ["--vary"] * args.vary + ["--no-cpu"] * args.no_cpu
    command += ["--why", f"trial: hosts of {old} ({args.which}) beside {new}"]
    code = subprocess.run(command, cwd=folder, check=False).returncode
    for name in _copy_journal(folder, known):
        print(f"journal: {name}", file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(main())
