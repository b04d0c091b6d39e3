"""Steps for the packages that the entry daemon's build installs."""

import importlib.util
import os
import re
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from behave.runner import Context

ROOT = Path(__file__).parents[2]
LIST = ROOT / "deploy/requirements.txt"
# Each version has wheels for several interpreters on two kinds of machine and two
# system libraries, so a list of one kind's hashes is far shorter.
MIN_HASHES = 20
# msgspec uses it where it is installed, and does without.
OPTIONAL = {"typing_extensions"}


def load_build():
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy/build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def read_list():
    """Reads the pinned versions and numbers of hashes by package."""
    packages = {}
    for name, version, hashes in re.findall(
        r"^([\w-]+)==(\S+)((?: \\\n    --hash=sha256:[0-9a-f]{64})+)",
        LIST.read_text(),
        re.MULTILINE,
    ):
        packages[name] = SimpleNamespace(version=version, n=hashes.count("sha256:"))
    return packages


@given("the list of the entry daemon's packages")
def step_read(context: Context) -> None:
    context.packages = read_list()
    assert context.packages


@then("each has the version that the project pins")
def step_check_versions(context: Context) -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pins = dict(line.split("==") for line in project["dependencies"])
    for name, package in context.packages.items():
        assert pins[name] == package.version, (name, package.version, pins[name])


@then("each has hashes of files for x86-64, for arm64 and of the source")
def step_check_hashes(context: Context) -> None:
    # `make wheels` downloads the files of both kinds of machine by these hashes.
    for name, package in context.packages.items():
        assert package.n >= MIN_HASHES, (name, package.n)


@then("every package that the entry daemon imports is in the list")
def step_check_imports(context: Context) -> None:
    code = (
        "import sys, berylpost.edge.daemon as d;"
        "print(*{m.partition('.')[0] for m, v in sys.modules.items()"
        " if 'site-packages' in (getattr(v, '__file__', None) or '')})"
    )
    found = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    imported = {name for name in found.stdout.split() if not name.startswith("_")}
    assert imported - OPTIONAL == set(read_list()), imported


@given("packages that were built for this interpreter, machine and list")
def step_build(context: Context) -> None:
    context.build = load_build()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.target = Path(folder.name)
    context.list = b"package==1\n"
    note = context.build.describe_build(context.list)
    (context.target / context.build.STAMP).write_text(note)
    context.machine = sysconfig.get_platform()
    context.tag = sys.implementation.cache_tag


@when("nothing changes")
def step_change_nothing(context: Context) -> None:
    pass


@when("the list gets another version")
def step_change_list(context: Context) -> None:
    context.list = b"package==2\n"


@when("the kind of machine is another one")
def step_change_machine(context: Context) -> None:
    context.machine = "linux-other"


@when("the interpreter is another one")
def step_change_interpreter(context: Context) -> None:
    context.tag = "cpython-399"


@when("the note on what they fit is missing")
def step_remove_note(context: Context) -> None:
    (context.target / context.build.STAMP).unlink()


@then("they count as {result}")
def step_check_built(context: Context, result: str) -> None:
    build = context.build
    with (
        mock.patch.object(build.sysconfig, "get_platform", lambda: context.machine),
        mock.patch.object(build.sys, "implementation") as implementation,
    ):
        implementation.cache_tag = context.tag
        wanted = build.describe_build(context.list)
    assert build.is_built(context.target, wanted) == (result == "built")
