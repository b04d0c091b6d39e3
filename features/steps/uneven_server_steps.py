"""Steps for servers of uneven speed, without sockets and in virtual time."""

from behave import then

from berylpost.platform.headers import parse_load


@then('a server\'s load of "{value}" counts as "{counted}"')
def check_load(context, value, counted):
    load = parse_load(value.encode())
    found = "nothing" if load is None else " ".join(str(figure) for figure in load)
    assert found == counted, found
