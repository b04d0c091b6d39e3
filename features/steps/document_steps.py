"""Steps of documents.feature."""

import json
import re
import subprocess
import sys
import tempfile
import textwrap
from pathlib import Path
from typing import Any

import yaml
from behave import given, then, when
from behave.runner import Context

from berylpost.bench.fleet import Fleet, FleetSpec, wait_until
from berylpost.configuration import apply_patch, hash_token, parse_deployment
from berylpost.errors import BerylpostError, SettingsError
from berylpost.kernel import list_plugins, order_plugins
from berylpost.reference import DOCS_DIR, PAGE_RENDERERS
from berylpost.replay import replay_file, replay_lines
from berylpost.settings import parse_settings

ROOT = DOCS_DIR.parent
TRACES = ROOT / "features" / "traces"


@then("docs/{page} equals what berylpost.reference renders")
def check_page(context: Context, page: str) -> None:
    assert (DOCS_DIR / page).read_text() == PAGE_RENDERERS[page](), (
        f"run python -m berylpost.reference and commit docs/{page}"
    )


def read_code_blocks(page: str) -> list[str]:
    """Reads the indented code blocks of a page."""
    text = (DOCS_DIR / page).read_text()
    blocks = re.findall(r"(?:^ {4}.*\n|^\n(?= {4}))+", text, re.MULTILINE)
    return [textwrap.dedent(block).strip("\n") + "\n" for block in blocks]


@then("the example of docs/{page} runs without the daemon being imported")
def run_example(context: Context, page: str) -> None:
    code = max(read_code_blocks(page), key=len)
    code += (
        "\nimport sys\n"
        "assert not {'berylpost.kernel', 'berylpost.web', 'berylpost.daemon'}"
        " & set(sys.modules), sorted(sys.modules)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


def read_minimal_documents() -> tuple[dict[str, Any], dict[str, Any]]:
    """Reads the minimal settings and configuration from docs/operating.md."""
    blocks = read_code_blocks("operating.md")
    settings = next(b for b in blocks if b.startswith("daemon:"))
    document = next(b for b in blocks if b.startswith("models:"))
    hashes = iter([hash_token("a"), hash_token("b")])
    document = re.sub("SHA256", lambda _m: next(hashes), document)
    return yaml.safe_load(settings), yaml.safe_load(document)


@then("the settings and the configuration shown there are valid")
def check_minimal_documents(context: Context) -> None:
    settings, document = read_minimal_documents()
    parse_settings(yaml.safe_dump(settings), source="operating.md")
    assert parse_deployment(document).customers[0].name == "weighbridge"


@then("importing berylpost.daemon imports none of {names}")
def check_imports(context: Context, names: str) -> None:
    unwanted = {name.strip() for name in names.split(",")}
    code = "import sys, berylpost.daemon; print(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    found = {name.partition(".")[0] for name in run.stdout.split()}
    assert "berylpost" in found and not unwanted & found, unwanted & found


@given("the minimal settings with {key} set to {value}")
def set_setting(context: Context, key: str, value: str) -> None:
    settings, _ = read_minimal_documents()
    section, _, name = key.rpartition(".")
    target = settings.setdefault(section, {}) if section else settings
    target[name] = json.loads(value)
    context.settings = settings


@then("they are refused and the message contains {words}")
def check_settings(context: Context, words: str) -> None:
    # Importing the modules of the plug-ins registers them.
    import berylpost.daemon  # noqa: F401

    try:
        text = yaml.safe_dump(context.settings)
        parsed = parse_settings(text, source="here.yaml")
        order_plugins(parsed.plugins, list_plugins())
    except SettingsError as error:
        assert words in str(error), error
    else:
        raise AssertionError("the invalid settings were accepted")


@when("berylpost is run with {arguments}")
def run_command(context: Context, arguments: str) -> None:
    command = [sys.executable, "-m", "berylpost", *arguments.split()]
    context.run = subprocess.run(
        command, capture_output=True, text=True, cwd=ROOT, timeout=60
    )


@then("it ends with status {status:d} and its output contains {words}")
def check_command(context: Context, status: int, words: str) -> None:
    output = context.run.stdout + context.run.stderr
    assert context.run.returncode == status, (context.run.returncode, output)
    assert words in output and "Traceback" not in output, output


@when("{patch} is applied as {media} to a deployment with customers a and b")
def patch_document(context: Context, patch: str, media: str) -> None:
    document = {
        "customers": [
            {"name": name, "tokens": [hash_token(f"{name}-token")]} for name in "ab"
        ],
        "operators": [{"name": "o", "tokens": [hash_token("o-token")]}],
    }
    try:
        parse_deployment(apply_patch(document, media, json.loads(patch)))
        context.outcome = "accepted"
    except BerylpostError as error:
        context.outcome = f"{error.kind} {error.detail}"


@then("the outcome is {outcome}")
def check_outcome(context: Context, outcome: str) -> None:
    kind, _, words = outcome.partition(" ")
    assert context.outcome.startswith(kind), context.outcome
    assert words in context.outcome, context.outcome


@then("replaying the traces in features/traces gives no difference")
def check_traces(context: Context) -> None:
    traces = sorted(TRACES.glob("*.jsonl"))
    assert len(traces) >= 2
    for trace in traces:
        assert len(trace.read_text().splitlines()) >= 100
        differences = replay_file(trace)
        assert not differences, differences[:3]


@then("a changed outcome in a trace is reported with its line and path")
def check_difference_reported(context: Context) -> None:
    lines = sorted(TRACES.glob("*.jsonl"))[0].read_bytes().splitlines()
    index = next(n for n, x in enumerate(lines) if b'"retry_after_s":' in x)
    record = json.loads(lines[index])
    record["outcome"]["retry_after_s"] += 1.0
    lines[index] = json.dumps(record).encode()
    differences = replay_lines(iter(lines))
    assert len(differences) == 1, differences
    assert differences[0].startswith(f"line {index + 1}: admission: $.retry_after_s")


@when("a daemon with recording serves {n:d} summaries and an engine is reclaimed")
def record_decisions(context: Context, n: int) -> None:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.trace = Path(directory.name) / "trace.jsonl"
    overrides = {
        "recording": {"path": str(context.trace)},
        "platform": {"vm_poll_s": 0.3},
    }
    with Fleet(spec=FleetSpec(n_daemons=1, overrides=overrides)) as fleet:
        client = fleet.make_client()
        for index in range(n):
            prompt = f"a prompt that is nobody's business {index}"
            document = {"model": "summary-7b", "prompt": prompt, "max_tokens": 5}
            client.complete("/v1/completions", document)
        fleet.reclaim("vm-engine-1", 1.0)
        wait_until(
            lambda: b'"decision":"reclaim"' in context.trace.read_bytes(),
            timeout_s=10,
            description="the reclaim is recorded",
        )


@then(
    "its recording contains admissions, routings and reclaims "
    "and replays without a difference"
)
def check_recording(context: Context) -> None:
    lines = context.trace.read_bytes().splitlines()
    decisions = {json.loads(line)["decision"] for line in lines}
    assert decisions == {"admission", "routing", "reclaim"}, decisions
    assert not replay_file(context.trace)


@then("it contains neither a prompt nor a token's hash")
def check_no_payload(context: Context) -> None:
    text = context.trace.read_text()
    assert "business" not in text
    assert hash_token("weighbridge-token") not in text
