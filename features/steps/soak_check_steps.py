"""Steps for the checks of the soak test itself."""

import tempfile
from pathlib import Path

from behave import given, then, when

from soak.accounts import find_faults
from soak.periods import PlannedStop


@given('a planned stop whose daemon logged "{lines}"')
def log_stop(context, lines):
    folder = tempfile.TemporaryDirectory(prefix="soak-checks-")
    context.add_cleanup(folder.cleanup)
    log = Path(folder.name) / "entry.log"
    before = b"event=request_lost id=of-an-earlier-start\n"
    text = before + lines.replace(";", "\n").encode()
    log.write_bytes(text)
    context.stop = PlannedStop(
        daemon="a",
        started_at=0.0,
        ended_at=5.0,
        status=0,
        log=log,
        log_range=(len(before), len(text)),
    )


@when("its account is checked, {state}")
def check_account(context, state):
    was_disturbed = {"disturbed": True, "undisturbed": False}[state]
    context.faults = list(find_faults(context.stop, was_disturbed=was_disturbed))


@then('the soak reports "{fault}"')
def check_fault(context, fault):
    assert context.faults == [fault], context.faults


@then('the soak reports ""')
def check_no_fault(context):
    assert context.faults == [], context.faults
