"""Installs the entry daemon's packages for the interpreter and machine that run this.

Packages built for another interpreter or kind of machine, or from another list, are
replaced. Run at the root of the repository, with any Python that has pip.
"""

import hashlib
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

REQUIREMENTS = Path("deploy/requirements.txt")
TARGET = Path("target/deps")
STAMP = "built-for"


def describe_build(requirements: bytes) -> str:
    """Names the interpreter, the kind of machine and the list that packages fit."""
    digest = hashlib.sha256(requirements).hexdigest()
    tag = sys.implementation.cache_tag
    return f"{sysconfig.get_platform()} {tag} {digest}\n"


def is_built(target: Path, wanted: str) -> bool:
    """Tells whether the packages in a folder were installed for `wanted`."""
    try:
        return (target / STAMP).read_text() == wanted
    except FileNotFoundError:
        return False


def main() -> int:
    """Installs unless the folder fits; returns pip's exit status."""
    wanted = describe_build(REQUIREMENTS.read_bytes())
    if is_built(TARGET, wanted):
        return 0
    shutil.rmtree(TARGET, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-deps"]
    command += ["--disable-pip-version-check", "--require-hashes"]
    command += ["--target", str(TARGET), "-r", str(REQUIREMENTS)]
    status = subprocess.run(command).returncode
    if status == 0:
        (TARGET / STAMP).write_text(wanted)
    return status


if __name__ == "__main__":
    sys.exit(main())
