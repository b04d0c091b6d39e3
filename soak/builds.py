"""Builds of earlier commits, to run beside the present one."""

import io
import subprocess
import tarfile
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parent.parent
FOLDER: Final = ROOT / "build" / "builds"
PARTS: Final = ("berylpost", "soak")


def extract_build(commit: str) -> Path:
    """Extracts the code of a commit from the history; returns its folder.

    Raises:
        subprocess.CalledProcessError: the history lacks the commit.
    """
    folder = FOLDER / commit
    if not folder.exists():
        archive = subprocess.run(
            ["git", "archive", commit, *PARTS],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
            files.extractall(folder, filter="data")
    return folder
