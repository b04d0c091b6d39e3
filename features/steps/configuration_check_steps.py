"""Steps of configuration_check.feature: the command with files, without a daemon."""

import copy
import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from cleo.testers.command_tester import CommandTester

from berylpost.application import make_application
from berylpost.configuration import hash_token
from berylpost.fakes.entry_world import API_KEY, make_configuration

NEW_KEY = "another-key"
DOCUMENTS = {
    "platform": make_configuration(),
    "deployment": {
        "models": [{"name": "m", "version": "1", "replicas": 2}],
        "customers": [{"name": "weighbridge", "tokens": [hash_token("a")]}],
        "operators": [{"name": "o", "tokens": [hash_token("b")]}],
    },
}


def run_check(context: Context, text: str | None, in_force: Any = None) -> None:
    """Runs the command on a file with this text; None for a missing file."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file.yaml"
        if text is not None:
            path.write_text(text)
        arguments = str(path)
        if in_force is not None:
            old = Path(folder) / "old.json"
            old.write_text(json.dumps(in_force))
            arguments += f" --in-force {old}"
        tester = CommandTester(make_application().find("config check"))
        context.status = tester.execute(arguments)
        context.output = tester.io.fetch_output() + tester.io.fetch_error()


@given("a sound {form} document")
def step_document(context: Context, form: str) -> None:
    context.document = copy.deepcopy(DOCUMENTS[form])


@when("it is checked")
def step_check(context: Context) -> None:
    run_check(context, json.dumps(context.document))


@when("{path} is set to {value} and it is checked")
def step_set(context: Context, path: str, value: str) -> None:
    *parts, last = path.split("/")
    target = context.document
    for part in parts:
        target = target[int(part) if part.isdigit() else part]
    target[last] = json.loads(value)
    step_check(context)


@when("Version {number:d} with another timeout, key and service is checked against it")
def step_compare(context: Context, number: int) -> None:
    new = copy.deepcopy(context.document)
    new["Version"] = number
    new["Routes"][0]["TimeoutMs"] = 900
    new["Routes"][4]["Service"] = "extra"
    new["Services"].append({"Name": "extra"})
    new["Tenants"][0]["ApiKeys"] = [NEW_KEY]
    run_check(context, json.dumps(new), context.document)


@when("a file that is {what} is checked")
def step_check_file(context: Context, what: str) -> None:
    run_check(context, {"missing": None, "not an object": "[1]"}.get(what, "{a: ["))


@then('the command exits with {status:d} and prints "{text}"')
def step_status(context: Context, status: int, text: str) -> None:
    assert context.status == status, (context.status, context.output)
    assert text in context.output, context.output


@then('it prints "{text}" and no key')
def step_prints(context: Context, text: str) -> None:
    assert text in context.output, context.output
    assert "ApiKeys: differs, 1 before, 1 now" in context.output, context.output
    assert NEW_KEY not in context.output and API_KEY not in context.output
