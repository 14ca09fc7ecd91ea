"""Packages of landed builds, taken from the history of this clone."""

import io
import subprocess
import tarfile
from pathlib import Path

import pytest

__all__ = ["ROOT", "extract_build", "need_commit"]

ROOT = Path(__file__).resolve().parent.parent


def _git(*args):
    return subprocess.run(["git", *args], cwd=ROOT, capture_output=True, check=False)


def need_commit(commit):
    """Skip the test, with a reason, if this clone lacks a commit."""
    if _git("cat-file", "-e", f"{commit}^{{commit}}").returncode:
        pytest.skip(f"this clone lacks {commit}: its build can't be taken from it")


def extract_build(commit, folder):
    """Put the package of a commit into `folder`; return `folder`."""
    need_commit(commit)
    folder.mkdir(parents=True, exist_ok=True)
    archive = _git("archive", commit, "lovagepier").stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    return folder
